/** The load of one engine as this node knows it: a lagging report, corrected by the node's own work. */
import {type EngineReport, TOKENS_PER_PIECE} from '../backends';

/** Amounts of work at an engine. */
export interface WorkAmounts {
  requests: number;
  /** Prompt tokens not yet prefilled. */
  prefillTokens: number;
  /** Tokens that may still be generated. */
  decodeTokens: number;
  /** Pieces of KV memory in use. */
  pieces: number;
}

/** The node's own work at one time. */
interface LoadSample extends Readonly<WorkAmounts> {
  readonly atMs: number;
}

/** What is known of an engine's load. */
export interface EngineLoad {
  report: EngineReport | undefined;
  /** When the report arrived, on the node's monotonic clock. */
  reportAtMs: number;
  /** This node's work at the engine now. */
  readonly own: WorkAmounts;
  /** Work of other nodes, as far as the report tells. */
  readonly others: WorkAmounts;
  /** The node's own work over the last seconds, oldest first. */
  readonly history: LoadSample[];
}

/** Work that one attempt adds to an engine. */
export interface AttemptWork {
  prefillTokens: number;
  decodeTokens: number;
  readonly pieces: number;
}

/** Longest lag of a report that is corrected for, in milliseconds. */
const MAX_REPORT_LAG_MS = 6_000;
/** Changes closer together than this share one sample, in milliseconds. */
const SAMPLE_INTERVAL_MS = 25;

/** Creates the load of an engine that has not reported. */
export function createEngineLoad(): EngineLoad {
  return {
    report: undefined,
    reportAtMs: 0,
    own: createAmounts(),
    others: createAmounts(),
    history: [],
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
  load.own.requests++;
  load.own.prefillTokens += work.prefillTokens;
  load.own.decodeTokens += work.decodeTokens;
  load.own.pieces += work.pieces;
  recordSample(load, nowMs);
}

/** Takes off what `count` generated tokens have shown to be done. */
export function recordProgress(
  load: EngineLoad,
  work: AttemptWork,
  count: number,
  nowMs: number,
): void {
  const decoded = Math.min(work.decodeTokens, count);
  work.decodeTokens -= decoded;
  load.own.decodeTokens -= decoded;
  if (work.prefillTokens === 0) return;
  load.own.prefillTokens -= work.prefillTokens;
  work.prefillTokens = 0;
  recordSample(load, nowMs);
}

/** Removes an attempt that is over. */
export function removeWork(
  load: EngineLoad,
  work: AttemptWork,
  nowMs: number,
): void {
  load.own.requests--;
  load.own.prefillTokens -= work.prefillTokens;
  load.own.decodeTokens -= work.decodeTokens;
  load.own.pieces -= work.pieces;
  recordSample(load, nowMs);
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
  const then = getOwnAt(load, nowMs - lagMs);
  const {others} = load;
  const used = report.totalPieces - report.freePieces;
  others.requests = getRest(report.running + report.waiting, then.requests);
  others.prefillTokens = getRest(report.prefillTokens, then.prefillTokens);
  others.decodeTokens = getRest(report.decodeTokens, then.decodeTokens);
  others.pieces = getRest(used, then.pieces);
  load.report = report;
  load.reportAtMs = nowMs;
}

function getOwnAt(load: EngineLoad, atMs: number): Readonly<WorkAmounts> {
  for (let index = load.history.length - 1; index >= 0; index--) {
    if (load.history[index].atMs <= atMs) return load.history[index];
  }
  return NO_WORK;
}

function recordSample(load: EngineLoad, nowMs: number): void {
  const {history, own} = load;
  const last = history[history.length - 1];
  if (last !== undefined && nowMs - last.atMs < SAMPLE_INTERVAL_MS) {
    history.pop();
    history.push({...own, atMs: last.atMs});
    return;
  }
  history.push({...own, atMs: nowMs});
  while (history.length > 2 && history[1].atMs < nowMs - MAX_REPORT_LAG_MS) {
    history.shift();
  }
}

function createAmounts(): WorkAmounts {
  return {requests: 0, prefillTokens: 0, decodeTokens: 0, pieces: 0};
}

const NO_WORK: Readonly<WorkAmounts> = createAmounts();

function getRest(total: number, part: number): number {
  return Math.max(0, total - part);
}
