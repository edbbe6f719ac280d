/** `anvilstack template retire`. */
import {Command, Option} from 'clipanion';
import {createMessage, messages} from '../diagnostics';
import {parseAcceptedVersion} from './accepted_version';
import {ExitCode} from './exit_code';
import type {OperatorClient} from './operator_client';
import {OperatorCommand} from './operator_command';
import {printJson, printMessages} from './output';

/** Retires a client account's template. */
export class TemplateRetireCommand extends OperatorCommand {
  static override paths = [['template', 'retire']];
  static override usage = Command.Usage({
    category: 'Templates',
    description: "Retires a client account's template.",
    details:
      'The template is no longer in force, and its API keys are refused. Its history is kept for some time.',
    examples: [
      [
        'Retire version 12 of studio',
        'anvilstack template retire studio --base 12',
      ],
    ],
  });

  account = Option.String({name: 'ACCOUNT'});

  base = Option.String('--base', {
    required: true,
    description: 'Version that is in force; any other is refused',
  });

  protected override async run(
    clients: readonly OperatorClient[],
  ): Promise<number> {
    if (!/^\d+$/.test(this.base)) {
      const text = `'${this.base}' is not a version number`;
      const fault = createMessage(messages.InvalidOptionValue, [
        '--base',
        text,
      ]);
      printMessages(this.context.stderr, [fault]);
      return ExitCode.Usage;
    }
    const name = encodeURIComponent(this.account);
    const path = `/operators/templates/${name}?base=${this.base}`;
    let address = '';
    const answer = await this.callFirstReachable(clients, client => {
      address = client.address;
      return client.remove(path);
    });
    if (answer.err) return this.fail(answer.val);
    const version = parseAcceptedVersion(this.account, address, answer.val);
    if (version.err) return this.fail(version.val);
    this.printRetired(version.val);
    return ExitCode.Done;
  }

  private printRetired(version: number): void {
    if (this.json) {
      printJson(this.context.stdout, {client_account: this.account, version});
      return;
    }
    this.context.stdout.write(
      `client account '${this.account}': retired as version ${version}\n`,
    );
  }
}
