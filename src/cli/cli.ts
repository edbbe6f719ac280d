/** The command-line interface: registers all commands and runs one. */
import {type BaseContext, Builtins, Cli} from 'clipanion';
import {DemoCommand} from './demo_command';
import {ExitCode} from './exit_code';
import {ExplainCommand} from './explain_command';
import {FleetCommand} from './fleet_command';
import {GatewayCommand} from './gateway_command';
import {ProgressCommand} from './progress_command';
import {ReplayCommand} from './replay_command';
import {ServeCommand} from './serve_command';
import {SettingsCheckCommand} from './settings_check_command';
import {StandinsCommand} from './standins_command';
import {TemplateAmendCommand} from './template_amend_command';
import {TemplateHistoryCommand} from './template_history_command';
import {TemplateListCommand} from './template_list_command';
import {TemplatePublishCommand} from './template_publish_command';
import {TemplateRetireCommand} from './template_retire_command';
import {TemplateShowCommand} from './template_show_command';
import {TimelineCommand} from './timeline_command';
import {getVersionText} from './version';

const COMMANDS = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  DemoCommand,
  ExplainCommand,
  FleetCommand,
  GatewayCommand,
  ProgressCommand,
  ReplayCommand,
  ServeCommand,
  SettingsCheckCommand,
  StandinsCommand,
  TemplateAmendCommand,
  TemplateHistoryCommand,
  TemplateListCommand,
  TemplatePublishCommand,
  TemplateRetireCommand,
  TemplateShowCommand,
  TimelineCommand,
];

/** Creates the command-line interface with all of its commands. */
export function createCli(): Cli {
  const cli = new Cli({
    binaryLabel: 'anvilstack',
    binaryName: 'anvilstack',
    binaryVersion: getVersionText(),
  });
  for (const command of COMMANDS) cli.register(command);
  return cli;
}

/**
 * Runs the command that the arguments name; returns its exit code, or `ExitCode.Usage` when they
 * cannot be parsed.
 */
export async function runCli(
  args: readonly string[],
  context: Partial<BaseContext> = {},
): Promise<number> {
  const cli = createCli();
  const fullContext = {...Cli.defaultContext, ...context};
  try {
    const command = cli.process([...args], fullContext);
    return await cli.run(command, fullContext);
  } catch (error) {
    fullContext.stderr.write(cli.error(error));
    return ExitCode.Usage;
  }
}
