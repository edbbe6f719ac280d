/** What `template publish` and `template amend` have in common. */
import {Option} from 'clipanion';
import type {Result} from 'ts-results';
import type {Message} from '../diagnostics';
import {createSystemClock} from '../runtime';
import type {Template} from '../state';
import {fleetSchema} from './answers';
import {ExitCode} from './exit_code';
import {parseAccepted} from './accepted_answer';
import type {OperatorClient} from './operator_client';
import {OperatorCommand} from './operator_command';
import {createProgressBar, printJson, printMessages} from './output';
import {loadTemplate} from './template_file';
import {
  createNotInForceMessage,
  listPolledNodes,
  waitUntilInForce,
} from './template_wait';

const MS_PER_S = 1_000;
const DEFAULT_WAIT_S = '30';

/** Sends a template from a file to a node. */
export abstract class TemplateChangeCommand extends OperatorCommand {
  file = Option.String({name: 'FILE'});

  wait = Option.Boolean('--wait', false, {
    description: 'Return when every live node has the version in force',
  });

  waitSeconds = Option.String('--wait-seconds', DEFAULT_WAIT_S, {
    description: 'Longest wait with --wait, in seconds',
  });

  /** Returns the body of the request, or why the change cannot be sent. */
  protected abstract createChange(template: Template): Result<unknown, Message>;

  protected override async run(
    clients: readonly OperatorClient[],
  ): Promise<number> {
    const loaded = loadTemplate(this.file);
    if (loaded.err) {
      printMessages(this.context.stderr, loaded.val);
      return ExitCode.Usage;
    }
    const {template, warnings} = loaded.val;
    printMessages(this.context.stderr, warnings);
    const account = template.client_account;
    const change = this.createChange(template);
    if (change.err) {
      printMessages(this.context.stderr, [change.val]);
      return ExitCode.Usage;
    }
    const used: OperatorClient[] = [];
    const answer = await this.callFirst(clients, client => {
      used[0] = client;
      return client.send('/operators/templates', change.val);
    });
    if (answer.err) return this.fail(answer.val);
    const version = parseAccepted(account, used[0].address, answer.val);
    if (version.err) return this.fail(version.val);
    if (!this.wait) return this.printAccepted(account, version.val, 0);
    return this.waitForNodes(account, version.val, used[0], clients);
  }

  private async waitForNodes(
    account: string,
    version: number,
    client: OperatorClient,
    clients: readonly OperatorClient[],
  ): Promise<number> {
    const fleet = await client.read('/operators/fleet', fleetSchema);
    if (fleet.err) return this.fail(fleet.val);
    const nodes = listPolledNodes(fleet.val, clients, address =>
      this.createClient(address),
    );
    const bar = createProgressBar(this.context.stderr, 'in force');
    const missing = await waitUntilInForce({
      clock: createSystemClock(),
      nodes,
      version,
      timeoutMs: Number(this.waitSeconds) * MS_PER_S,
      onProgress: bar.update,
    });
    bar.stop();
    if (missing.length > 0) {
      return this.fail(createNotInForceMessage(account, version, missing));
    }
    return this.printAccepted(account, version, nodes.length);
  }

  private printAccepted(
    account: string,
    version: number,
    nodes: number,
  ): number {
    if (this.json) {
      const inForceOn = this.wait ? nodes : undefined;
      printJson(this.context.stdout, {
        client_account: account,
        version,
        in_force_on: inForceOn,
      });
      return ExitCode.Done;
    }
    const where = this.wait ? `, in force on all ${nodes} live node(s)` : '';
    this.context.stdout.write(
      `client account '${account}': version ${version} accepted${where}\n`,
    );
    return ExitCode.Done;
  }
}
