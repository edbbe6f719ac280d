/** The load of an engine as known to this node: a lagging report plus the node's own work. */
import {type EngineReport, TOKENS_PER_PIECE} from '../backends';
import {
  addAmounts,
  createAmounts,
  createLocalWork,
  getLocalWorkAt,
  type LocalWork,
  recordSample,
  type WorkAmounts,
} from './work_amounts';

/** The load of all engines of one role. */
export interface RoleLoad {
  /** Work of this node at these engines. */
  readonly localWork: LocalWork;
  /** Work of other nodes, summed over the engines that have reported. */
  readonly peerWork: WorkAmounts;
  engineCount: number;
  /** When the last report of any of these engines arrived, on the node's monotonic clock. */
  reportAtMs: number;
  /** Average time between two reports of one engine, in milliseconds. */
  reportIntervalMs: number;
  /**
   * Moving average of the fraction of this node's attempts that are urgent, 0 to 1; decodes
   * after a prefill are not counted.
   */
  urgentFraction: number;
  /** Moving average of the observed over the reported time of a decode step. */
  slowdown: number;
  /** Average observed and predicted times of urgent answers. */
  readonly urgentTimes: AnswerTimes;
  /** Average observed and predicted times of non-urgent answers. */
  readonly nonUrgentTimes: AnswerTimes;
  /** Number of live nodes, including this one. */
  nodeCount: number;
}

/** Moving averages over the last answers, in milliseconds. */
export interface AnswerTimes {
  observedMs: number;
  predictedMs: number;
}

/** The load of an engine. */
export interface EngineLoad {
  report: EngineReport | undefined;
  /** When the report arrived, on the node's monotonic clock. */
  reportAtMs: number;
  /** Age of the report when it arrived, in milliseconds. */
  reportLagMs: number;
  /** Work of this node at the engine. */
  readonly localWork: LocalWork;
  /** Work of other nodes at the time of the report: the reported amounts less this node's own. */
  readonly peerWork: WorkAmounts;
  /** Load of all engines of the same role; undefined before the first report. */
  roleLoad: RoleLoad | undefined;
}

/** Remaining work of one attempt at its engine. */
export interface AttemptWork {
  prefillTokens: number;
  urgentPrefillTokens: number;
  decodeTokens: number;
  readonly kvPieces: number;
}

/** Weight of one attempt in the average fraction of urgent ones. */
const URGENT_FRACTION_WEIGHT = 0.02;
/** Initial value of the averages of answer times and report intervals, in milliseconds. */
const INITIAL_AVERAGE_MS = 1_000;
/** Weight of one answer in the average answer times. */
const TIMES_WEIGHT = 0.05;
/** Weight of one interval in the average report interval. */
const REPORT_INTERVAL_WEIGHT = 0.05;
/** An engine has stopped reporting after this many average report intervals without a report. */
const SILENT_REPORT_INTERVALS = 4;

/** Creates the load of an engine that has not reported. */
export function createEngineLoad(): EngineLoad {
  return {
    report: undefined,
    reportAtMs: 0,
    reportLagMs: 0,
    localWork: createLocalWork(),
    peerWork: createAmounts(),
    roleLoad: undefined,
  };
}

/** Creates the load of a role without engines. */
export function createRoleLoad(): RoleLoad {
  return {
    localWork: createLocalWork(),
    peerWork: createAmounts(),
    engineCount: 0,
    reportAtMs: 0,
    reportIntervalMs: INITIAL_AVERAGE_MS,
    urgentFraction: 0,
    slowdown: 1,
    urgentTimes: {
      observedMs: INITIAL_AVERAGE_MS,
      predictedMs: INITIAL_AVERAGE_MS,
    },
    nonUrgentTimes: {
      observedMs: INITIAL_AVERAGE_MS,
      predictedMs: INITIAL_AVERAGE_MS,
    },
    nodeCount: 1,
  };
}

/** Returns the number of KV memory pieces that hold `tokens` tokens. */
export function getKvPieces(tokens: number): number {
  return Math.ceil(tokens / TOKENS_PER_PIECE);
}

/** Adds the work of an attempt that is being sent. */
export function addWork(
  load: EngineLoad,
  work: AttemptWork,
  nowMs: number,
): void {
  applyLocalChange(load, {...work, requests: 1}, 1, nowMs);
  if (load.roleLoad === undefined || work.prefillTokens === 0) return;
  const isUrgent = work.urgentPrefillTokens > 0 ? 1 : 0;
  load.roleLoad.urgentFraction +=
    URGENT_FRACTION_WEIGHT * (isUrgent - load.roleLoad.urgentFraction);
}

/** Removes the work that `count` generated tokens show as done: the prefill and these tokens. */
export function recordProgress(
  load: EngineLoad,
  work: AttemptWork,
  count: number,
  nowMs: number,
): void {
  const decodeTokens = Math.min(work.decodeTokens, count);
  const {prefillTokens, urgentPrefillTokens} = work;
  work.decodeTokens -= decodeTokens;
  work.prefillTokens = 0;
  work.urgentPrefillTokens = 0;
  const change = {
    requests: 0,
    prefillTokens,
    urgentPrefillTokens,
    decodeTokens,
    kvPieces: 0,
  };
  applyLocalChange(load, change, -1, nowMs);
}

/** Removes the remaining work of an attempt that is over. */
export function removeWork(
  load: EngineLoad,
  work: AttemptWork,
  nowMs: number,
): void {
  applyLocalChange(load, {...work, requests: 1}, -1, nowMs);
}

function applyLocalChange(
  load: EngineLoad,
  change: Readonly<WorkAmounts>,
  sign: number,
  nowMs: number,
): void {
  applyChange(load.localWork, change, sign, nowMs);
  if (load.roleLoad !== undefined) {
    applyChange(load.roleLoad.localWork, change, sign, nowMs);
  }
}

function applyChange(
  localWork: LocalWork,
  change: Readonly<WorkAmounts>,
  sign: number,
  nowMs: number,
): void {
  addAmounts(localWork.current, change, sign);
  // Decode progress alone is not sampled.
  if (change.requests !== 0 || change.prefillTokens !== 0) {
    recordSample(localWork, nowMs);
  }
}

/**
 * Applies a report that shows the engine as it was `lagMs` before `nowMs`.
 * The work that this node had there at that time is subtracted; the rest is other nodes' work.
 */
export function applyReport(
  load: EngineLoad,
  report: EngineReport,
  nowMs: number,
  lagMs: number,
): void {
  const localAtReport = getLocalWorkAt(load.localWork, nowMs - lagMs);
  const {peerWork, roleLoad} = load;
  if (roleLoad !== undefined) addAmounts(roleLoad.peerWork, peerWork, -1);
  const used = report.totalPieces - report.freePieces;
  peerWork.requests = getRemainder(
    report.running + report.waiting,
    localAtReport.requests,
  );
  peerWork.prefillTokens = getRemainder(
    report.prefillTokens,
    localAtReport.prefillTokens,
  );
  // A report does not separate urgent work; other nodes are assumed to have this node's mix.
  peerWork.urgentPrefillTokens =
    peerWork.prefillTokens * (roleLoad?.urgentFraction ?? 0);
  peerWork.decodeTokens = getRemainder(
    report.decodeTokens,
    localAtReport.decodeTokens,
  );
  peerWork.kvPieces = getRemainder(used, localAtReport.kvPieces);
  if (roleLoad !== undefined) {
    addAmounts(roleLoad.peerWork, peerWork, 1);
    roleLoad.reportAtMs = nowMs;
  }
  if (roleLoad !== undefined && load.report !== undefined) {
    const intervalMs = nowMs - load.reportAtMs;
    roleLoad.reportIntervalMs +=
      REPORT_INTERVAL_WEIGHT * (intervalMs - roleLoad.reportIntervalMs);
  }
  load.report = report;
  load.reportAtMs = nowMs;
  load.reportLagMs = lagMs;
}

/** Adds the time of an answer to the averages by which predictions are corrected. */
export function recordTimes(
  times: AnswerTimes,
  observedMs: number,
  predictedMs: number,
): void {
  times.observedMs += TIMES_WEIGHT * (observedMs - times.observedMs);
  times.predictedMs += TIMES_WEIGHT * (predictedMs - times.predictedMs);
}

/** Returns whether an engine has stopped reporting while other engines of its role still report. */
export function hasStoppedReporting(load: EngineLoad, nowMs: number): boolean {
  const {roleLoad} = load;
  if (roleLoad === undefined) return false;
  const silentMs = SILENT_REPORT_INTERVALS * roleLoad.reportIntervalMs;
  const isRoleReporting =
    nowMs - roleLoad.reportAtMs < roleLoad.reportIntervalMs * 2;
  return isRoleReporting && nowMs - load.reportAtMs > silentMs;
}

/** Moves an engine's load to the totals of a role, or removes it from its role. */
export function setRoleLoad(
  load: EngineLoad,
  roleLoad: RoleLoad | undefined,
): void {
  if (load.roleLoad === roleLoad) return;
  if (load.roleLoad !== undefined) {
    addAmounts(load.roleLoad.peerWork, load.peerWork, -1);
    addAmounts(load.roleLoad.localWork.current, load.localWork.current, -1);
    load.roleLoad.engineCount--;
  }
  load.roleLoad = roleLoad;
  if (roleLoad === undefined) return;
  addAmounts(roleLoad.peerWork, load.peerWork, 1);
  addAmounts(roleLoad.localWork.current, load.localWork.current, 1);
  roleLoad.engineCount++;
}

function getRemainder(total: number, part: number): number {
  return Math.max(0, total - part);
}
