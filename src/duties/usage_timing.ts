/** Decides when a node reports a window. */

/** What a node knows about a window that has ended and is not known to be reported. */
export interface WindowSituation {
  /** Time since the end of the window, in milliseconds. */
  readonly elapsedMs: number;
  /** Time after the end of the window within which its report is due, in milliseconds. */
  readonly dueMs: number;
  /** True when this node receives the other nodes' counts. */
  readonly isReceiver: boolean;
  /** Nodes that sent counts lately, without those of this window. */
  readonly missingCount: number;
  /** Nodes that sent counts lately, this one included. */
  readonly heardCount: number;
  /** Registered nodes, this one included; some may be gone for long. */
  readonly knownCount: number;
  /** Nodes that sent counts lately and are to report before this one. */
  readonly earlierCount: number;
  /** True when this node started in the window or later, so that it may lack counts of nodes that have died since. */
  readonly isNew: boolean;
}

/** What to do about a window. */
export const WindowStep = {
  Wait: 'wait',
  Report: 'report',
  /** The report would come too late. */
  Drop: 'drop',
} as const;
export type WindowStep = (typeof WindowStep)[keyof typeof WindowStep];

/** Time after a window's end when all counts have usually come, in milliseconds: they are spread over 0.6 s, and a lost one is repeated after 0.3 s. */
const ALL_HEARD_MS = 1_000;
/** Time for which nodes that are registered but were not heard lately are awaited, in milliseconds. */
const SOME_UNHEARD_MS = 2_500;
/** Time for which the counts of nodes that were heard lately are awaited, in milliseconds. */
const SOME_MISSING_MS = 4_000;
/** Delay for each node that is to report before this one, and the maximum of their sum, in milliseconds. */
const NODE_DELAY_MS = 700;
const MAX_NODE_DELAY_MS = 2_800;
/** Delay of a node that has the counts of less than half of the nodes, in milliseconds: others may have more. */
const ISOLATED_DELAY_MS = 3_000;
/** Delay of a node that started in the window, in milliseconds. */
const NEW_DELAY_MS = 1_500;
/** Time kept for the acquisition of the authority and the call, in milliseconds. */
const REPORT_TIME_MS = 1_500;

/** Chooses the step. A node that is no receiver leaves the window to those that are. */
export function chooseWindowStep(situation: WindowSituation): WindowStep {
  const {elapsedMs, dueMs} = situation;
  if (elapsedMs >= dueMs) return WindowStep.Drop;
  if (!situation.isReceiver) return WindowStep.Wait;
  const isTime = elapsedMs >= computeReportDelayMs(situation);
  return isTime ? WindowStep.Report : WindowStep.Wait;
}

function computeReportDelayMs(situation: WindowSituation): number {
  const {heardCount, missingCount, knownCount, dueMs} = situation;
  const isIsolated = 2 * (heardCount - missingCount) < knownCount;
  const delayMs =
    computeSettledMs(situation) +
    Math.min(MAX_NODE_DELAY_MS, NODE_DELAY_MS * situation.earlierCount) +
    (isIsolated ? ISOLATED_DELAY_MS : 0) +
    (situation.isNew ? NEW_DELAY_MS : 0);
  return Math.min(delayMs, Math.max(0, dueMs - REPORT_TIME_MS));
}

function computeSettledMs(situation: WindowSituation): number {
  if (situation.missingCount > 0) return SOME_MISSING_MS;
  return situation.heardCount < situation.knownCount
    ? SOME_UNHEARD_MS
    : ALL_HEARD_MS;
}
