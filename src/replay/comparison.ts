/** Replays a trace with every policy, and tabulates the outcomes beside the goodput bound. */
import {computeGoodputBound, type GoodputBound} from './goodput_bound';
import {replayTrace} from './replay';
import {
  type Outcome,
  type ReplayOptions,
  ReplayPolicy,
  type ReplayResult,
  type Trace,
} from './types';

/** The replay results of a trace by policy, and its goodput bound. */
export interface Comparison {
  readonly bound: GoodputBound;
  readonly results: ReadonlyMap<ReplayPolicy, ReplayResult>;
}

/** Replays the trace with each policy in turn; ignores `options.policy`. */
export async function replayWithBaselines(
  trace: Trace,
  options: ReplayOptions = {},
): Promise<Comparison> {
  const results = new Map<ReplayPolicy, ReplayResult>();
  for (const policy of Object.values(ReplayPolicy)) {
    results.set(policy, await replayTrace(trace, {...options, policy}));
  }
  return {bound: computeGoodputBound(trace), results};
}

/** Headings of the table of `listComparisonRows`. */
export const COMPARISON_HEADINGS = [
  'POLICY',
  'GOODPUT',
  'OF BOUND',
  'LATE',
  'REFUSED',
  'MAY HAVE RUN',
  'CUT',
  'RUN TWICE',
  'ROLE CHANGES',
  'P95 FIRST TOKEN MS',
  'P95 BETWEEN TOKENS MS',
  'WASTED TOKENS',
] as const;

/** Returns a row for each policy and one for the bound. */
export function listComparisonRows(
  comparison: Comparison,
): ReadonlyArray<readonly string[]> {
  const {bound, results} = comparison;
  const rows = [...results.values()].map(({outcome}) =>
    getRow(outcome, bound.goodput),
  );
  return [...rows, ['bound', bound.goodput.toFixed(4), '1.000']];
}

function getRow(outcome: Outcome, bound: number): readonly string[] {
  return [
    outcome.policy,
    outcome.goodput.toFixed(4),
    (outcome.goodput / Math.max(bound, 1e-9)).toFixed(3),
    String(outcome.late),
    String(outcome.refused),
    String(outcome.may_have_run),
    String(outcome.cut),
    String(outcome.run_twice),
    String(outcome.role_changes),
    outcome.p95_first_token_ms.toFixed(1),
    outcome.p95_between_tokens_ms.toFixed(1),
    String(outcome.wasted_tokens),
  ];
}
