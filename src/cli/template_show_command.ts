/** `anvilstack template show`. */
import {Command, Option} from 'clipanion';
import {stringify} from 'smol-toml';
import {templateStateSchema} from './answers';
import {ExitCode} from './exit_code';
import type {OperatorClient} from './operator_client';
import {OperatorCommand} from './operator_command';
import {printJson} from './output';

/** Shows the template in force. */
export class TemplateShowCommand extends OperatorCommand {
  static override paths = [['template', 'show']];
  static override usage = Command.Usage({
    category: 'Templates',
    description: "Shows a client account's template in force, as TOML.",
    examples: [['Save it for an amendment', 'anvilstack template show studio']],
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
    const {template, current} = answer.val;
    if (this.json) {
      printJson(this.context.stdout, {...current, template});
      return ExitCode.Done;
    }
    this.context.stdout.write(
      `# version ${current.version} by ${current.operator}\n${stringify(template)}\n`,
    );
    return ExitCode.Done;
  }
}
