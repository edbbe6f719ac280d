/** The one binary. */
import {runCli} from './cli';

void runCli(process.argv.slice(2)).then(code => {
  // Timers of tasks that have ended do not hold the process up.
  process.exit(code);
});
