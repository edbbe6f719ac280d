/** The command line. */
import {Builtins, Cli} from 'clipanion';
import {DemoCommand} from './demo_command';
import {ServeCommand} from './serve_command';
import {getVersionText} from './version';

/** Runs the command that the arguments name; returns the exit code. */
export function runCli(args: readonly string[]): Promise<number> {
  const cli = new Cli({
    binaryLabel: 'anvilstack',
    binaryName: 'anvilstack',
    binaryVersion: getVersionText(),
  });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  cli.register(DemoCommand);
  cli.register(ServeCommand);
  return cli.run([...args], Cli.defaultContext);
}
