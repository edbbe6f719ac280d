/** Entry point of the command line program, which contains all commands. */
import {runCli} from './cli';

void runCli(process.argv.slice(2)).then(code => {
  // Exits explicitly, so that left-over timers of finished tasks do not keep the process alive.
  process.exit(code);
});
