/** `anvilstack template history`. */
import {Command, Option} from 'clipanion';
import {templateStateSchema} from './answers';
import {ExitCode} from './exit_code';
import type {OperatorClient} from './operator_client';
import {OperatorCommand} from './operator_command';
import {formatTable, formatTime, printJson} from './output';

/** Lists the accepted versions of a template. */
export class TemplateHistoryCommand extends OperatorCommand {
  static override paths = [['template', 'history']];
  static override usage = Command.Usage({
    category: 'Templates',
    description: "Lists the accepted versions of a client account's template.",
    examples: [['Who changed it', 'anvilstack template history studio']],
  });

  account = Option.String({name: 'ACCOUNT'});

  protected override async run(
    clients: readonly OperatorClient[],
  ): Promise<number> {
    const path = `/operators/templates/${encodeURIComponent(this.account)}`;
    const answer = await this.callFirst(clients, client =>
      client.read(path, templateStateSchema),
    );
    if (answer.err) return this.fail(answer.val);
    const {history} = answer.val;
    if (this.json) {
      printJson(this.context.stdout, history);
      return ExitCode.Done;
    }
    const rows = history.map(item => [
      String(item.version),
      item.baseVersion === 0 ? '-' : String(item.baseVersion),
      item.operator,
      formatTime(item.acceptedAtMs),
    ]);
    this.context.stdout.write(
      formatTable(['VERSION', 'BASE', 'OPERATOR', 'ACCEPTED (UTC)'], rows),
    );
    return ExitCode.Done;
  }
}
