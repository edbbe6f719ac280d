/** `anvilstack progress`. */
import {Command, Option} from 'clipanion';
import {createMessage, messages} from '../diagnostics';
import {compareProgress, parseExpectedProgress} from '../planning/move';
import {createSystemClock} from '../runtime';
import {readTextFile} from '../settings';
import {progressSchema} from './response_schemas';
import {ExitCode} from './exit_code';
import type {OperatorClient} from './operator_client';
import {OperatorCommand} from './operator_command';
import {formatTable} from '../diagnostics';
import {printJson, printMessages} from './output';

const WATCH_INTERVAL_MS = 2_000;
const CLEAR_SCREEN = '\u001b[2J\u001b[H';

/** Shows the current stage of each client account's move. */
export class ProgressCommand extends OperatorCommand {
  static override paths = [['progress']];
  static override usage = Command.Usage({
    category: 'Fleet',
    description: "Shows the current stage of each client account's move.",
    details:
      'With --expect FILE the state is compared with the expected state in the file (TOML: [[client_account]] with name, stage, complete); if they differ, the differences are printed and the exit code is 1.',
    examples: [
      ['Show the progress once', 'anvilstack progress'],
      ['Follow a move while it runs', 'anvilstack progress --watch'],
      [
        'Check the end state after a move',
        'anvilstack progress --expect monday.toml',
      ],
    ],
  });

  watch = Option.Boolean('--watch', false, {
    description: 'Refresh every two seconds',
  });

  expect = Option.String('--expect', {
    description: 'File with the expected state',
  });

  protected override async run(
    clients: readonly OperatorClient[],
  ): Promise<number> {
    if (!this.watch) return this.showOnce(clients);
    const clock = createSystemClock();
    for (;;) {
      if (this.isTerminal()) this.context.stdout.write(CLEAR_SCREEN);
      const code = await this.showOnce(clients);
      if (this.expect !== undefined && code === ExitCode.Done) return code;
      if (code === ExitCode.Usage) return code;
      await clock.sleep(WATCH_INTERVAL_MS);
    }
  }

  private async showOnce(clients: readonly OperatorClient[]): Promise<number> {
    const answer = await this.callFirstReachable(clients, client =>
      client.read('/operators/progress', progressSchema),
    );
    if (answer.err) return this.fail(answer.val);
    const rows = answer.val;
    if (this.json) printJson(this.context.stdout, rows);
    else this.context.stdout.write(formatProgress(rows));
    if (this.expect === undefined) return ExitCode.Done;
    const text = readTextFile(this.expect);
    if (text.err) {
      printMessages(this.context.stderr, text.val);
      return ExitCode.Usage;
    }
    const expected = parseExpectedProgress(text.val);
    if (expected.err) {
      const fault = [this.expect, expected.val.split('\n')[0]];
      printMessages(this.context.stderr, [
        createMessage(messages.FileUnreadable, fault),
      ]);
      return ExitCode.Usage;
    }
    const differences = compareProgress(expected.val, rows);
    if (differences.length === 0) return ExitCode.Done;
    return this.fail(
      ...differences.map(line =>
        createMessage(messages.ExpectationFailed, [line]),
      ),
    );
  }

  private isTerminal(): boolean {
    return (this.context.stdout as {isTTY?: boolean}).isTTY === true;
  }
}

function formatProgress(
  rows: ReadonlyArray<{
    readonly client_account: string;
    readonly template_version: number;
    readonly stage: string | null;
    readonly is_complete: boolean;
    readonly next_stage: string | null;
    readonly cause: string;
  }>,
): string {
  return formatTable(
    ['CLIENT ACCOUNT', 'VERSION', 'STAGE', 'STATE', 'NEXT', 'CAUSE'],
    rows.map(row => [
      row.client_account,
      String(row.template_version),
      row.stage ?? '-',
      row.is_complete ? 'complete' : 'in progress',
      row.next_stage ?? '-',
      row.cause,
    ]),
  );
}
