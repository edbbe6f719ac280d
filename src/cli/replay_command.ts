/** `anvilstack replay`. */
import {writeFileSync} from 'node:fs';
import {basename, dirname, join} from 'node:path';
import {Command, Option} from 'clipanion';
import {Err, Ok, type Result} from 'ts-results';
import {createMessage, type Message, messages} from '../diagnostics';
import {
  checkOutcome,
  type Comparison,
  COMPARISON_HEADINGS,
  listComparisonRows,
  type Outcome,
  parseOutcomeBounds,
  parseTrace,
  ReplayPolicy,
  type ReplayResult,
  type ReplaySettings,
  replayTrace,
  replayWithBaselines,
  renderReplayHtml,
  type Trace,
} from '../replay';
import {loadSettings, readTextFile} from '../settings';
import {ExitCode} from './exit_code';
import {formatTable} from '../diagnostics';
import {printJson, printMessages} from './output';

const DEFAULT_SEED = '1';
const TRACE_SUFFIX = /\.jsonl?$/;

/**
 * Replays a trace through this program's own request pipeline, claims, routing and planning in
 * virtual time.
 */
export class ReplayCommand extends Command {
  static override paths = [['replay']];
  static override usage = Command.Usage({
    category: 'Simulation',
    description:
      'Replays a recorded trace in virtual time and prints its outcome.',
    details:
      'The same trace, seed and policy give the same outcome. With --check the outcome is compared with the bounds in NAME.outcome.json, in the directory of the trace; the exit code is 1 when a bound is missed.',
    examples: [
      ['Replay a trace', 'anvilstack replay trace.jsonl'],
      [
        'Replay with a baseline policy',
        'anvilstack replay trace.jsonl --policy round-robin',
      ],
      [
        'Check the outcome against its bounds',
        'anvilstack replay trace.jsonl --check',
      ],
      [
        'Compare with every baseline policy and with the upper bound on goodput',
        'anvilstack replay trace.jsonl --compare',
      ],
      [
        'Write the comparison as an HTML page with plots',
        'anvilstack replay trace.jsonl --html replay.html',
      ],
    ],
  });

  trace = Option.String({name: 'TRACE'});
  settings = Option.String('--settings', {
    description: 'Settings file of a node, for its report and plan intervals',
  });

  seed = Option.String('--seed', DEFAULT_SEED, {
    description: 'Seed of the random choices',
  });

  policy = Option.String('--policy', ReplayPolicy.Anvilstack, {
    description: Object.values(ReplayPolicy).join(', '),
  });

  check = Option.Boolean('--check', false, {
    description: 'Compare the outcome with the bounds in NAME.outcome.json',
  });

  compare = Option.Boolean('--compare', false, {
    description:
      'Replay with every policy and print the outcomes with the upper bound on goodput',
  });

  html = Option.String('--html', {
    description:
      'Write the comparison to this file as a self-contained HTML page',
  });

  json = Option.Boolean('--json', false, {
    description: 'Print JSON',
  });

  async execute(): Promise<number> {
    if (this.compare || this.html !== undefined) return this.runComparison();
    const run = await this.runReplay();
    if (run.err) {
      printMessages(this.context.stderr, run.val);
      return ExitCode.Usage;
    }
    const {outcome} = run.val;
    if (this.json) printJson(this.context.stdout, outcome);
    else this.context.stdout.write(formatOutcome(outcome));
    return this.check ? this.checkBounds(outcome) : ExitCode.Done;
  }

  private async runReplay(): Promise<Result<ReplayResult, readonly Message[]>> {
    const policy = Object.values(ReplayPolicy).find(
      item => item === this.policy,
    );
    if (policy === undefined) {
      const known = Object.values(ReplayPolicy).join(', ');
      return Err([createArgumentFault('--policy', `expected one of ${known}`)]);
    }
    if (!/^\d{1,9}$/.test(this.seed)) {
      return Err([createArgumentFault('--seed', 'expected a whole number')]);
    }
    const settings = this.loadReplaySettings();
    if (settings.err) return settings;
    const trace = this.readTrace();
    if (trace.err) return trace;
    const result = await replayTrace(trace.val, {
      seed: Number(this.seed),
      policy,
      settings: settings.val,
    });
    return Ok(result);
  }

  private async runComparison(): Promise<number> {
    const settings = this.loadReplaySettings();
    const trace = this.readTrace();
    if (settings.err || trace.err) {
      const faults = settings.err ? settings.val : [];
      const traceFaults = trace.err ? trace.val : [];
      printMessages(this.context.stderr, [...faults, ...traceFaults]);
      return ExitCode.Usage;
    }
    const comparison = await replayWithBaselines(trace.val, {
      seed: Number(this.seed),
      settings: settings.val,
    });
    this.printComparison(comparison);
    const anvilstackResult = comparison.results.get(ReplayPolicy.Anvilstack);
    if (!this.check || anvilstackResult === undefined) return ExitCode.Done;
    return this.checkBounds(anvilstackResult.outcome);
  }

  private printComparison(comparison: Comparison): void {
    const {stdout} = this.context;
    if (this.html !== undefined) {
      writeFileSync(this.html, renderReplayHtml(this.trace, comparison));
    }
    if (this.json) {
      const outcomes = [...comparison.results.values()];
      printJson(stdout, {
        bound: comparison.bound,
        outcomes: outcomes.map(result => result.outcome),
      });
      return;
    }
    const rows = listComparisonRows(comparison);
    stdout.write(formatTable(COMPARISON_HEADINGS, rows));
  }

  private readTrace(): Result<Trace, readonly Message[]> {
    return readTextFile(this.trace).andThen(text =>
      parseTrace(text).mapErr(errors =>
        errors.map(error =>
          createMessage(messages.InvalidTrace, [error.message], {
            location: {file: this.trace, line: error.line, column: 1},
          }),
        ),
      ),
    );
  }

  private loadReplaySettings(): Result<
    Partial<ReplaySettings>,
    readonly Message[]
  > {
    if (this.settings === undefined) return Ok({});
    return loadSettings(this.settings).map(({routing, planning}) => ({
      reportIntervalMs: routing.report_interval_ms,
      planIntervalMs: planning.interval_ms,
    }));
  }

  private checkBounds(outcome: Outcome): number {
    const name = basename(this.trace).replace(TRACE_SUFFIX, '');
    const file = join(dirname(this.trace), `${name}.outcome.json`);
    const text = readTextFile(file);
    if (text.err) {
      printMessages(this.context.stderr, text.val);
      return ExitCode.Usage;
    }
    const bounds = parseOutcomeBounds(text.val);
    if (bounds.err) {
      const fault = createMessage(messages.FileUnreadable, [file, bounds.val]);
      printMessages(this.context.stderr, [fault]);
      return ExitCode.Usage;
    }
    const missed = checkOutcome(outcome, bounds.val).map(bound =>
      createMessage(messages.OutOfBounds, [
        bound.field,
        String(bound.value),
        formatBound(bound),
      ]),
    );
    printMessages(this.context.stderr, missed);
    return missed.length === 0 ? ExitCode.Done : ExitCode.Failed;
  }
}

function createArgumentFault(option: string, text: string): Message {
  return createMessage(messages.InvalidOptionValue, [option, text]);
}

function formatBound(bound: {
  readonly min?: number;
  readonly max?: number;
}): string {
  const parts: string[] = [];
  if (bound.min !== undefined) parts.push(`at least ${bound.min}`);
  if (bound.max !== undefined) parts.push(`at most ${bound.max}`);
  return parts.join(' and ');
}

function formatOutcome(outcome: Outcome): string {
  const rows = Object.entries(outcome).map(([field, value]) => [
    field,
    typeof value === 'number' && !Number.isInteger(value)
      ? value.toFixed(4)
      : String(value),
  ]);
  return formatTable(['FIELD', 'VALUE'], rows);
}
