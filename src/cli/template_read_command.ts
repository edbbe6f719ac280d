/** Base class of `template show` and `template history`. */
import {Option} from 'clipanion';
import type {z} from 'zod';
import {templateStateSchema} from './response_schemas';
import {ExitCode} from './exit_code';
import type {OperatorClient} from './operator_client';
import {OperatorCommand} from './operator_command';
import {printJson} from './output';

/** A template in force with its history, as in the response of a node. */
export type TemplateState = z.infer<typeof templateStateSchema>;

/** Reads one client account's template from a node. */
export abstract class TemplateReadCommand extends OperatorCommand {
  account = Option.String({name: 'ACCOUNT'});

  /** Returns what `--json` prints. */
  protected abstract createJson(answer: TemplateState): unknown;

  /** Returns the text that is printed without `--json`. */
  protected abstract formatText(answer: TemplateState): string;

  protected override async run(
    clients: readonly OperatorClient[],
  ): Promise<number> {
    const path = `/operators/templates/${encodeURIComponent(this.account)}`;
    const answer = await this.callFirstReachable(clients, client =>
      client.read(path, templateStateSchema),
    );
    if (answer.err) return this.fail(answer.val);
    if (this.json) printJson(this.context.stdout, this.createJson(answer.val));
    else this.context.stdout.write(this.formatText(answer.val));
    return ExitCode.Done;
  }
}
