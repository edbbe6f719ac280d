/** The load of one engine as this node knows it: a lagging report, corrected by the node's own work. */
import {type EngineReport, TOKENS_PER_PIECE} from '../backends';
import {
  addAmounts,
  createAmounts,
  createOwnWork,
  getOwnAt,
  type OwnWork,
  recordSample,
  type WorkAmounts,
} from './work_amounts';

/** What is known of the engines of one role together. */
export interface FleetLoad {
  readonly own: OwnWork;
  /** Sum of the others' work over the engines that have reported. */
  readonly others: WorkAmounts;
  engineCount: number;
  /** When a report of any of them came last, and the usual time between two of one engine. */
  reportAtMs: number;
  reportGapMs: number;
  /** Part of this node's prompt tokens that are of urgent requests, averaged. */
  urgentPart: number;
  /** Observed over reported time of a decode step, averaged over the last answers. */
  slowdown: number;
  /** Observed and predicted times of urgent and of other answers, averaged. */
  readonly urgentTimes: AnswerTimes;
  readonly usualTimes: AnswerTimes;
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
  readonly own: OwnWork;
  /** Work of other nodes, as far as the report tells. */
  readonly others: WorkAmounts;
  /** Engines of the same role; absent before the first report. */
  fleet: FleetLoad | undefined;
}

/** Work that one attempt adds to an engine. */
export interface AttemptWork {
  prefillTokens: number;
  urgentPrefillTokens: number;
  decodeTokens: number;
  readonly pieces: number;
}

/** Weight of one request in the averaged part of urgent ones. */
const URGENT_WEIGHT = 0.02;
/** Average times assumed before the first answer, in milliseconds. */
const START_MS = 1_000;
const TIMES_WEIGHT = 0.05;
const GAP_WEIGHT = 0.05;
/** An engine is silent after so many usual gaps without a report. */
const SILENT_GAPS = 4;

/** Creates the load of an engine that has not reported. */
export function createEngineLoad(): EngineLoad {
  return {
    report: undefined,
    reportAtMs: 0,
    reportLagMs: 0,
    own: createOwnWork(),
    others: createAmounts(),
    fleet: undefined,
  };
}

/** Creates the load of a fleet without engines. */
export function createFleetLoad(): FleetLoad {
  return {
    own: createOwnWork(),
    others: createAmounts(),
    engineCount: 0,
    reportAtMs: 0,
    reportGapMs: START_MS,
    urgentPart: 0,
    slowdown: 1,
    urgentTimes: {observedMs: START_MS, predictedMs: START_MS},
    usualTimes: {observedMs: START_MS, predictedMs: START_MS},
    nodeCount: 1,
  };
}

/** Returns the pieces of KV memory that hold `tokens` tokens. */
export function getPieces(tokens: number): number {
  return Math.ceil(tokens / TOKENS_PER_PIECE);
}

/** Adds an attempt that is being sent. */
export function addWork(
  load: EngineLoad,
  work: AttemptWork,
  nowMs: number,
): void {
  applyOwnChange(load, {...work, requests: 1}, 1, nowMs);
  if (load.fleet === undefined || work.prefillTokens === 0) return;
  const isUrgent = work.urgentPrefillTokens > 0 ? 1 : 0;
  load.fleet.urgentPart += URGENT_WEIGHT * (isUrgent - load.fleet.urgentPart);
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
    pieces: 0,
  };
  applyOwnChange(load, change, -1, nowMs);
}

/** Removes an attempt that is over. */
export function removeWork(
  load: EngineLoad,
  work: AttemptWork,
  nowMs: number,
): void {
  applyOwnChange(load, {...work, requests: 1}, -1, nowMs);
}

function applyOwnChange(
  load: EngineLoad,
  change: Readonly<WorkAmounts>,
  sign: number,
  nowMs: number,
): void {
  applyChange(load.own, change, sign, nowMs);
  if (load.fleet !== undefined) {
    applyChange(load.fleet.own, change, sign, nowMs);
  }
}

function applyChange(
  own: OwnWork,
  change: Readonly<WorkAmounts>,
  sign: number,
  nowMs: number,
): void {
  addAmounts(own.now, change, sign);
  // Progress in decoding alone does not need a sample.
  if (change.requests !== 0 || change.prefillTokens !== 0) {
    recordSample(own, nowMs);
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
  const then = getOwnAt(load.own, nowMs - lagMs);
  const {others, fleet} = load;
  if (fleet !== undefined) addAmounts(fleet.others, others, -1);
  const used = report.totalPieces - report.freePieces;
  others.requests = getRest(report.running + report.waiting, then.requests);
  others.prefillTokens = getRest(report.prefillTokens, then.prefillTokens);
  // A report does not tell urgent work apart: other nodes' mix is taken to be this node's.
  others.urgentPrefillTokens = others.prefillTokens * (fleet?.urgentPart ?? 0);
  others.decodeTokens = getRest(report.decodeTokens, then.decodeTokens);
  others.pieces = getRest(used, then.pieces);
  if (fleet !== undefined) {
    addAmounts(fleet.others, others, 1);
    fleet.reportAtMs = nowMs;
  }
  if (fleet !== undefined && load.report !== undefined) {
    const gapMs = nowMs - load.reportAtMs;
    fleet.reportGapMs += GAP_WEIGHT * (gapMs - fleet.reportGapMs);
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
export function isSilent(load: EngineLoad, nowMs: number): boolean {
  const {fleet} = load;
  if (fleet === undefined) return false;
  const silentMs = SILENT_GAPS * fleet.reportGapMs;
  const isFleetHeard = nowMs - fleet.reportAtMs < fleet.reportGapMs * 2;
  return isFleetHeard && nowMs - load.reportAtMs > silentMs;
}

/** Moves an engine's load to the fleet of its role. */
export function setFleet(load: EngineLoad, fleet: FleetLoad | undefined): void {
  if (load.fleet === fleet) return;
  if (load.fleet !== undefined) {
    addAmounts(load.fleet.others, load.others, -1);
    addAmounts(load.fleet.own.now, load.own.now, -1);
    load.fleet.engineCount--;
  }
  load.fleet = fleet;
  if (fleet === undefined) return;
  addAmounts(fleet.others, load.others, 1);
  addAmounts(fleet.own.now, load.own.now, 1);
  fleet.engineCount++;
}

function getRest(total: number, part: number): number {
  return Math.max(0, total - part);
}
