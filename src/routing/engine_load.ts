/** The load of one engine as this node knows it: a lagging report, corrected by the node's own work. */
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

/** What is known of the engines of one role together. */
export interface RoleLoad {
  readonly localWork: LocalWork;
  /** Sum of the others' work over the engines that have reported. */
  readonly peerWork: WorkAmounts;
  engineCount: number;
  /** When a report of any of them came last, and the usual time between two of one engine. */
  reportAtMs: number;
  reportIntervalMs: number;
  /** Part of this node's prompt tokens that are of urgent requests, averaged. */
  urgentFraction: number;
  /** Observed over reported time of a decode step, averaged over the last answers. */
  slowdown: number;
  /** Observed and predicted times of urgent and of other answers, averaged. */
  readonly urgentTimes: AnswerTimes;
  readonly nonUrgentTimes: AnswerTimes;
  /** Live nodes, this one included. */
  nodeCount: number;
}

/** Averages over the last answers, in milliseconds. */
export interface AnswerTimes {
  observedMs: number;
  predictedMs: number;
}

/** What is known of an engine's load. */
export interface EngineLoad {
  report: EngineReport | undefined;
  /** When the report arrived, on the node's monotonic clock. */
  reportAtMs: number;
  /** Age of the report when it arrived, in milliseconds. */
  reportLagMs: number;
  readonly localWork: LocalWork;
  /** Work of other nodes, as far as the report tells. */
  readonly peerWork: WorkAmounts;
  /** Engines of the same role; absent before the first report. */
  roleLoad: RoleLoad | undefined;
}

/** Work that one attempt adds to an engine. */
export interface AttemptWork {
  prefillTokens: number;
  urgentPrefillTokens: number;
  decodeTokens: number;
  readonly kvPieces: number;
}

/** Weight of one request in the averaged part of urgent ones. */
const URGENT_FRACTION_WEIGHT = 0.02;
/** Average times assumed before the first answer, in milliseconds. */
const INITIAL_AVERAGE_MS = 1_000;
const TIMES_WEIGHT = 0.05;
const REPORT_INTERVAL_WEIGHT = 0.05;
/** An engine is silent after so many usual gaps without a report. */
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

/** Creates the load of a fleet without engines. */
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

/** Returns the pieces of KV memory that hold `tokens` tokens. */
export function getKvPieces(tokens: number): number {
  return Math.ceil(tokens / TOKENS_PER_PIECE);
}

/** Adds an attempt that is being sent. */
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

/** Takes off what `count` generated tokens have shown to be done. */
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

/** Removes an attempt that is over. */
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
  // Progress in decoding alone does not need a sample.
  if (change.requests !== 0 || change.prefillTokens !== 0) {
    recordSample(localWork, nowMs);
  }
}

/**
 * Takes a report that shows the engine as it was `lagMs` before `nowMs`.
 * What this node had there at that time is taken off; the rest is the others'.
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
  // A report does not tell urgent work apart: other nodes' mix is taken to be this node's.
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

/** Takes the time of an answer into the averages by which predictions are corrected. */
export function recordTimes(
  times: AnswerTimes,
  observedMs: number,
  predictedMs: number,
): void {
  times.observedMs += TIMES_WEIGHT * (observedMs - times.observedMs);
  times.predictedMs += TIMES_WEIGHT * (predictedMs - times.predictedMs);
}

/** Returns whether an engine has stopped reporting while others of its role go on. */
export function hasStoppedReporting(load: EngineLoad, nowMs: number): boolean {
  const {roleLoad} = load;
  if (roleLoad === undefined) return false;
  const silentMs = SILENT_REPORT_INTERVALS * roleLoad.reportIntervalMs;
  const isRoleReporting =
    nowMs - roleLoad.reportAtMs < roleLoad.reportIntervalMs * 2;
  return isRoleReporting && nowMs - load.reportAtMs > silentMs;
}

/** Moves an engine's load to the fleet of its role. */
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
