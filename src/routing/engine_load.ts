/** The load of one engine as this node knows it: a lagging report, corrected by the node's own work. */
import {type EngineReport, TOKENS_PER_PIECE} from '../backends';

/** Amounts of work at an engine. */
export interface WorkAmounts {
  requests: number;
  /** Prompt tokens not yet prefilled. */
  prefillTokens: number;
  /** Those of them that are of urgent requests. */
  urgentPrefillTokens: number;
  /** Tokens that may still be generated. */
  decodeTokens: number;
  /** Pieces of KV memory in use. */
  pieces: number;
}

/** The node's own work at one time. */
interface LoadSample extends Readonly<WorkAmounts> {
  readonly atMs: number;
}

/** This node's own work, now and over the last seconds. */
export interface OwnWork {
  readonly now: WorkAmounts;
  /** Oldest first. */
  readonly history: LoadSample[];
}

/** What is known of the engines of one role together. */
export interface FleetLoad {
  readonly own: OwnWork;
  /** Sum of the others' work over the engines that have reported. */
  readonly others: WorkAmounts;
  engineCount: number;
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

/** Longest lag of a report that is corrected for, in milliseconds. */
const MAX_REPORT_LAG_MS = 6_000;
/** Changes closer together than this share one sample, in milliseconds. */
const SAMPLE_INTERVAL_MS = 25;
/** Time over which an engine's load forgets its past, in milliseconds. */
const OTHERS_MEMORY_MS = 2_000;
/** Part of its own growth that a node expects of each other node. */
const GROWTH_WEIGHT = 0.5;
/** Weight of one request in the averaged part of urgent ones. */
const URGENT_WEIGHT = 0.02;
/** Average times assumed before the first answer, in milliseconds. */
const START_MS = 1_000;
const TIMES_WEIGHT = 0.05;

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
  if (fleet !== undefined) addAmounts(fleet.others, others, 1);
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

/**
 * Returns the work of other nodes at an engine now. The older the report, the
 * more the fleet's mean counts in its place, so that nodes with the same old
 * report do not all take the engine that it shows as free. The mean follows
 * what this node has itself added since, as the other nodes will have done.
 */
export function getOthersWork(
  load: EngineLoad,
  nowMs: number,
): Readonly<WorkAmounts> {
  const {fleet, others} = load;
  if (fleet === undefined || fleet.engineCount < 2) return others;
  const ageMs = load.reportLagMs + nowMs - load.reportAtMs;
  const trust = Math.exp(-ageMs / OTHERS_MEMORY_MS);
  const then = getOwnAt(fleet.own, nowMs - ageMs);
  const {now} = fleet.own;
  return {
    requests: getBlend('requests'),
    prefillTokens: getBlend('prefillTokens'),
    urgentPrefillTokens: getBlend('urgentPrefillTokens'),
    decodeTokens: getBlend('decodeTokens'),
    pieces: getBlend('pieces'),
  };

  function getBlend(key: keyof WorkAmounts): number {
    const count = fleet?.engineCount ?? 1;
    const nodes = fleet?.nodeCount ?? 1;
    const growth = GROWTH_WEIGHT * (nodes - 1) * (now[key] - then[key]);
    const mean = (fleet?.others[key] ?? 0) / count;
    const reported = trust * others[key] + (1 - trust) * mean;
    return Math.max(0, reported + growth / count);
  }
}

function getOwnAt(own: OwnWork, atMs: number): Readonly<WorkAmounts> {
  for (let index = own.history.length - 1; index >= 0; index--) {
    if (own.history[index].atMs <= atMs) return own.history[index];
  }
  return NO_WORK;
}

function recordSample(own: OwnWork, nowMs: number): void {
  const {history, now} = own;
  const last = history[history.length - 1];
  if (last !== undefined && nowMs - last.atMs < SAMPLE_INTERVAL_MS) {
    history[history.length - 1] = {...now, atMs: last.atMs};
    return;
  }
  history.push({...now, atMs: nowMs});
  while (history.length > 2 && history[1].atMs < nowMs - MAX_REPORT_LAG_MS) {
    history.shift();
  }
}

function createOwnWork(): OwnWork {
  return {now: createAmounts(), history: []};
}

function createAmounts(): WorkAmounts {
  return {
    requests: 0,
    prefillTokens: 0,
    urgentPrefillTokens: 0,
    decodeTokens: 0,
    pieces: 0,
  };
}

const NO_WORK: Readonly<WorkAmounts> = createAmounts();

function addAmounts(
  sum: WorkAmounts,
  part: Readonly<WorkAmounts>,
  sign: number,
): void {
  sum.requests += sign * part.requests;
  sum.prefillTokens += sign * part.prefillTokens;
  sum.urgentPrefillTokens += sign * part.urgentPrefillTokens;
  sum.decodeTokens += sign * part.decodeTokens;
  sum.pieces += sign * part.pieces;
}

function getRest(total: number, part: number): number {
  return Math.max(0, total - part);
}
