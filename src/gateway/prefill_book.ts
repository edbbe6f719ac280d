/** Prompts that are waiting or being read at each engine, from all nodes. */

/** A prompt that was sent to an engine. */
export interface PrefillJob {
  readonly id: string;
  readonly serverId: string;
  /** Predicted time to read it, in milliseconds. */
  readonly costMs: number;
  /** Predicted time until it is read, in milliseconds, when it counts as read then; absent when its end is always told. */
  readonly endsInMs?: number;
}

/** Work ahead at each engine. */
export interface PrefillBook {
  add(job: PrefillJob, nowMs: number): void;
  /** Keeps a job that is not read although its predicted end is over. */
  retain(jobId: string, nowMs: number): void;
  /** Removes a job that ended. */
  remove(jobId: string, nowMs: number): void;
  /** Returns how long a new job would wait, in milliseconds: engines read in order of arrival. */
  getWaitMs(serverId: string, nowMs: number): number;
  /** Returns the number of open jobs at an engine. */
  countJobs(serverId: string): number;
  /** Notes that an engine turned away a job that is still in the book, as full. */
  recordFull(serverId: string, nowMs: number): void;
  /** True while an engine has about as many jobs as when it was full. */
  isFull(serverId: string, nowMs: number): boolean;
  removeServer(serverId: string): void;
}

interface OpenJob extends PrefillJob {
  /** When the job is dropped even though nobody said that it ended. */
  expiresAtMs: number;
}

interface Engine {
  readonly jobs: Map<string, OpenJob>;
  /** When the engine began to work on what it reads now. */
  headStartMs: number;
  /** Jobs beside the one that was turned away, and when that was. */
  full?: {readonly jobCount: number; readonly atMs: number};
}

/** How far from its predicted end a prompt may be read without a word, in milliseconds: a tenth of the usual objective. */
export const READ_TOLERANCE_MS = 50;
/** Slack before a job whose end was never heard of is dropped, in milliseconds: lost datagrams. */
const EXPIRY_SLACK_MS = 500;
/** How long after its predicted end a job counts as read, in milliseconds: the tolerance of its sender, and the way of a message. */
const SILENCE_SLACK_MS = READ_TOLERANCE_MS + 30;
/** Part of the jobs at which an engine was full that it gets again: the nodes hear of each other's jobs late. */
const REFILL_PART = 0.9;
/** How long an engine's word that it is full counts, in milliseconds. */
const FULL_MEMORY_MS = 5_000;
/** How many times longer than predicted a job may take before it is dropped. */
const EXPIRY_FACTOR = 2;

/** Creates an empty book. */
export function createPrefillBook(): PrefillBook {
  const engines = new Map<string, Engine>();
  const places = new Map<string, string>();
  return {
    add,
    retain,
    remove,
    getWaitMs,
    countJobs: serverId => engines.get(serverId)?.jobs.size ?? 0,
    recordFull,
    isFull,
    removeServer,
  };

  function add(job: PrefillJob, nowMs: number): void {
    const engine = engines.get(job.serverId) ?? {
      jobs: new Map<string, OpenJob>(),
      headStartMs: nowMs,
    };
    engines.set(job.serverId, engine);
    sweep(engine, nowMs);
    if (engine.jobs.size === 0) engine.headStartMs = nowMs;
    const waitMs = getWaitMs(job.serverId, nowMs);
    const lifeMs =
      job.endsInMs === undefined
        ? computeLongestMs(waitMs + job.costMs)
        : job.endsInMs + SILENCE_SLACK_MS;
    engine.jobs.set(job.id, {...job, expiresAtMs: nowMs + lifeMs});
    places.set(job.id, job.serverId);
  }

  function retain(jobId: string, nowMs: number): void {
    const job = tryFindEngine(jobId)?.jobs.get(jobId);
    if (job === undefined) return;
    job.expiresAtMs = nowMs + computeLongestMs(job.costMs);
  }

  function remove(jobId: string, nowMs: number): void {
    const engine = tryFindEngine(jobId);
    if (engine?.jobs.delete(jobId) !== true) return;
    places.delete(jobId);
    engine.headStartMs = nowMs;
  }

  function tryFindEngine(jobId: string): Engine | undefined {
    const serverId = places.get(jobId);
    return serverId === undefined ? undefined : engines.get(serverId);
  }

  function getWaitMs(serverId: string, nowMs: number): number {
    const engine = engines.get(serverId);
    if (engine === undefined) return 0;
    sweep(engine, nowMs);
    let waitMs = 0;
    let headMs = 0;
    for (const job of engine.jobs.values()) {
      if (headMs === 0) headMs = job.costMs;
      waitMs += job.costMs;
    }
    const progressMs = Math.min(headMs, nowMs - engine.headStartMs);
    return Math.max(0, waitMs - progressMs);
  }

  function recordFull(serverId: string, nowMs: number): void {
    const engine = engines.get(serverId);
    if (engine === undefined) return;
    const jobCount = Math.max(1, engine.jobs.size - 1);
    engine.full = {jobCount, atMs: nowMs};
  }

  function isFull(serverId: string, nowMs: number): boolean {
    const engine = engines.get(serverId);
    if (engine?.full === undefined) return false;
    if (nowMs - engine.full.atMs > FULL_MEMORY_MS) return false;
    sweep(engine, nowMs);
    return engine.jobs.size >= REFILL_PART * engine.full.jobCount;
  }

  function sweep(engine: Engine, nowMs: number): void {
    for (const job of engine.jobs.values()) {
      if (nowMs < job.expiresAtMs) continue;
      engine.jobs.delete(job.id);
      places.delete(job.id);
      if (job.endsInMs === undefined) continue;
      const readAtMs = job.expiresAtMs - SILENCE_SLACK_MS;
      engine.headStartMs = Math.max(engine.headStartMs, readAtMs);
    }
  }

  function removeServer(serverId: string): void {
    for (const id of engines.get(serverId)?.jobs.keys() ?? []) {
      places.delete(id);
    }
    engines.delete(serverId);
  }
}

/** Returns how long a job of this predicted time stays in the book when nobody says that it ended, in milliseconds. */
function computeLongestMs(predictedMs: number): number {
  return EXPIRY_FACTOR * predictedMs + EXPIRY_SLACK_MS;
}
