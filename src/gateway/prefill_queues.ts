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
export interface PrefillQueues {
  add(job: PrefillJob, nowMs: number): void;
  /** Keeps a job that is not read although its predicted end is over. */
  recordOverdue(jobId: string, nowMs: number): void;
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

interface EngineQueue {
  readonly jobs: Map<string, OpenJob>;
  /** When the engine began to work on what it reads now. */
  headStartedAtMs: number;
  /** Jobs beside the one that was turned away, and when that was. */
  lastFull?: {readonly jobCount: number; readonly atMs: number};
}

/** How far from its predicted end a prompt may be read without a word, in milliseconds: a tenth of the usual objective. */
export const PREFILL_END_TOLERANCE_MS = 50;
/** Slack before a job whose end was never heard of is dropped, in milliseconds: lost datagrams. */
const EXPIRY_SLACK_MS = 500;
/** How long after its predicted end a job counts as read, in milliseconds: the tolerance of its sender, and the way of a message. */
const UNREPORTED_END_SLACK_MS = PREFILL_END_TOLERANCE_MS + 30;
/** Part of the jobs at which an engine was full that it gets again: the nodes hear of each other's jobs late. */
const REFILL_FRACTION = 0.9;
/** How long an engine's word that it is full counts, in milliseconds. */
const FULL_REPORT_TTL_MS = 5_000;
/** How many times longer than predicted a job may take before it is dropped. */
const EXPIRY_FACTOR = 2;

/** Creates an empty book. */
export function createPrefillQueues(): PrefillQueues {
  const engines = new Map<string, EngineQueue>();
  const serverIdsByJob = new Map<string, string>();
  return {
    add,
    recordOverdue,
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
      headStartedAtMs: nowMs,
    };
    engines.set(job.serverId, engine);
    expireJobs(engine, nowMs);
    if (engine.jobs.size === 0) engine.headStartedAtMs = nowMs;
    const waitMs = getWaitMs(job.serverId, nowMs);
    const lifetimeMs =
      job.endsInMs === undefined
        ? computeJobExpiryMs(waitMs + job.costMs)
        : job.endsInMs + UNREPORTED_END_SLACK_MS;
    engine.jobs.set(job.id, {...job, expiresAtMs: nowMs + lifetimeMs});
    serverIdsByJob.set(job.id, job.serverId);
  }

  function recordOverdue(jobId: string, nowMs: number): void {
    const job = tryFindEngine(jobId)?.jobs.get(jobId);
    if (job === undefined) return;
    job.expiresAtMs = nowMs + computeJobExpiryMs(job.costMs);
  }

  function remove(jobId: string, nowMs: number): void {
    const engine = tryFindEngine(jobId);
    if (engine?.jobs.delete(jobId) !== true) return;
    serverIdsByJob.delete(jobId);
    engine.headStartedAtMs = nowMs;
  }

  function tryFindEngine(jobId: string): EngineQueue | undefined {
    const serverId = serverIdsByJob.get(jobId);
    return serverId === undefined ? undefined : engines.get(serverId);
  }

  function getWaitMs(serverId: string, nowMs: number): number {
    const engine = engines.get(serverId);
    if (engine === undefined) return 0;
    expireJobs(engine, nowMs);
    let waitMs = 0;
    let headMs = 0;
    for (const job of engine.jobs.values()) {
      if (headMs === 0) headMs = job.costMs;
      waitMs += job.costMs;
    }
    const progressMs = Math.min(headMs, nowMs - engine.headStartedAtMs);
    return Math.max(0, waitMs - progressMs);
  }

  function recordFull(serverId: string, nowMs: number): void {
    const engine = engines.get(serverId);
    if (engine === undefined) return;
    const jobCount = Math.max(1, engine.jobs.size - 1);
    engine.lastFull = {jobCount, atMs: nowMs};
  }

  function isFull(serverId: string, nowMs: number): boolean {
    const engine = engines.get(serverId);
    if (engine?.lastFull === undefined) return false;
    if (nowMs - engine.lastFull.atMs > FULL_REPORT_TTL_MS) return false;
    expireJobs(engine, nowMs);
    return engine.jobs.size >= REFILL_FRACTION * engine.lastFull.jobCount;
  }

  function expireJobs(engine: EngineQueue, nowMs: number): void {
    for (const job of engine.jobs.values()) {
      if (nowMs < job.expiresAtMs) continue;
      engine.jobs.delete(job.id);
      serverIdsByJob.delete(job.id);
      if (job.endsInMs === undefined) continue;
      const endedAtMs = job.expiresAtMs - UNREPORTED_END_SLACK_MS;
      engine.headStartedAtMs = Math.max(engine.headStartedAtMs, endedAtMs);
    }
  }

  function removeServer(serverId: string): void {
    for (const id of engines.get(serverId)?.jobs.keys() ?? []) {
      serverIdsByJob.delete(id);
    }
    engines.delete(serverId);
  }
}

/** Returns how long a job of this predicted time stays in the book when nobody says that it ended, in milliseconds. */
function computeJobExpiryMs(predictedMs: number): number {
  return EXPIRY_FACTOR * predictedMs + EXPIRY_SLACK_MS;
}
