/** `anvilstack template list`. */
import {Command} from 'clipanion';
import {z} from 'zod';
import {templateRowSchema} from './response_schemas';
import {ExitCode} from './exit_code';
import type {OperatorClient} from './operator_client';
import {OperatorCommand} from './operator_command';
import {formatTable} from '../diagnostics';
import {formatTime, printJson} from './output';

/** Lists the templates in force. */
export class TemplateListCommand extends OperatorCommand {
  static override paths = [['template', 'list']];
  static override usage = Command.Usage({
    category: 'Templates',
    description: 'Lists the templates in force.',
    examples: [['List the templates', 'anvilstack template list']],
  });

  protected override async run(
    clients: readonly OperatorClient[],
  ): Promise<number> {
    const answer = await this.callFirstReachable(clients, client =>
      client.read('/operators/templates', z.array(templateRowSchema)),
    );
    if (answer.err) return this.fail(answer.val);
    if (this.json) {
      printJson(this.context.stdout, answer.val);
      return ExitCode.Done;
    }
    const rows = answer.val.map(item => [
      item.client_account,
      String(item.version),
      item.operator,
      formatTime(item.acceptedAtMs),
      item.description,
    ]);
    this.context.stdout.write(
      formatTable(
        [
          'CLIENT ACCOUNT',
          'VERSION',
          'OPERATOR',
          'ACCEPTED (UTC)',
          'DESCRIPTION',
        ],
        rows,
      ),
    );
    return ExitCode.Done;
  }
}
