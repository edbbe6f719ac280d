/** Estimated prefill queue of each engine: the prompts of all nodes that are queued or being prefilled there. */

/** A prompt that was sent to an engine. */
export interface PrefillJob {
  readonly id: string;
  readonly serverId: string;
  /** Predicted prefill time, in milliseconds. */
  readonly costMs: number;
  /** Predicted time until the prefill ends, in milliseconds. The job then counts as ended unless reported otherwise. Absent when the end is always reported. */
  readonly endsInMs?: number;
  /** Ratio of predicted to nominal time, with `endsInMs`; absent when it is the service's. */
  readonly factor?: number;
}

/** Prefill queues by engine. */
export interface PrefillQueues {
  add(job: PrefillJob, nowMs: number): void;
  /** Keeps a job in its queue that has not ended at its predicted time. */
  recordOverdue(jobId: string, nowMs: number): void;
  /** Records that an engine will be busy for at least this time, in milliseconds, whatever jobs are known here. */
  recordBacklog(serverId: string, backlogMs: number, nowMs: number): void;
  /** Removes a job that has ended. */
  remove(jobId: string, nowMs: number): void;
  /** Returns how long a new job would wait, in milliseconds. Engines prefill in order of arrival. */
  getWaitMs(serverId: string, nowMs: number): number;
  /** Returns when the engine began with the job that ends now, as far as known: when the one before ended or was predicted to end or, without one, when it was sent; undefined without a queue. */
  tryGetLastStartMs(serverId: string, nowMs: number): number | undefined;
  /** Returns the number of jobs in an engine's queue. */
  countJobs(serverId: string): number;
  /** Records that an engine rejected a job because its queue is full; called while the job is still counted here. */
  recordFull(serverId: string, nowMs: number): void;
  /** True while the engine has nearly as many jobs as when it last rejected one as full. */
  isFull(serverId: string, nowMs: number): boolean;
  removeServer(serverId: string): void;
  /** Creates independent queues with the jobs of these engines: even reading drops jobs whose end is assumed. */
  createCopy(
    serverIds: readonly string[],
    onAssumedEnd: (job: PrefillJob) => void,
  ): PrefillQueues;
}

interface OpenJob extends PrefillJob {
  /** When the job is dropped although its end was not reported. */
  expiresAtMs: number;
  isOverdue?: true;
}

interface EngineQueue {
  readonly jobs: Map<string, OpenJob>;
  /** When the engine started to prefill the first job of the queue. */
  headStartedAtMs: number;
  /** Until when the engine is busy by its own report. */
  backlogUntilMs?: number;
  /** Number of jobs besides the rejected one, and the time of the rejection. */
  lastFull?: {readonly jobCount: number; readonly atMs: number};
}

/** Largest difference between the actual and the predicted end of a prefill that is not announced to the other nodes, in milliseconds: a tenth of the usual objective. */
export const PREFILL_END_TOLERANCE_MS = 50;
/** Slack before a job whose end was not reported is dropped, in milliseconds: the datagram may have been lost. */
const EXPIRY_SLACK_MS = 500;
/** How long after its predicted end a job without a report counts as ended, in milliseconds: the sender's tolerance plus the delivery of its message. */
const UNREPORTED_END_SLACK_MS = PREFILL_END_TOLERANCE_MS + 30;
/** An engine that was full is used again when its queue is shorter than this fraction of its length at the rejection: the nodes learn of each other's jobs late. */
const REFILL_FRACTION = 0.9;
/** How long a rejection of a full engine is taken into account, in milliseconds. */
const FULL_REPORT_TTL_MS = 5_000;
/** Longest backlog that is assumed from one report, in milliseconds: a wrong statement must not keep an engine idle for long. */
const MAX_BACKLOG_MS = 1_000;
/** Multiple of the predicted time that a job may take before it is dropped. */
const EXPIRY_FACTOR = 2;

/** Creates queues without jobs; `onAssumedEnd` is called for a job that ended at its predicted time, as nothing else was reported. */
export function createPrefillQueues(
  onAssumedEnd: (job: PrefillJob) => void = () => undefined,
): PrefillQueues {
  return createQueues(onAssumedEnd, new Map(), new Map());
}

function createQueues(
  onAssumedEnd: (job: PrefillJob) => void,
  engines: Map<string, EngineQueue>,
  serverIdsByJob: Map<string, string>,
): PrefillQueues {
  return {
    add,
    recordOverdue,
    recordBacklog,
    remove,
    getWaitMs,
    tryGetLastStartMs,
    countJobs: serverId => engines.get(serverId)?.jobs.size ?? 0,
    recordFull,
    isFull,
    removeServer,
    createCopy,
  };

  function createCopy(
    serverIds: readonly string[],
    onCopyEnd: (job: PrefillJob) => void,
  ): PrefillQueues {
    const copies = new Map<string, EngineQueue>();
    const copiedJobs = new Map<string, string>();
    for (const serverId of serverIds) {
      const engine = engines.get(serverId);
      if (engine === undefined) continue;
      const jobs = [...engine.jobs].map(([id, job]): [string, OpenJob] => [
        id,
        {...job},
      ]);
      copies.set(serverId, {...engine, jobs: new Map(jobs)});
      for (const [id] of jobs) copiedJobs.set(id, serverId);
    }
    return createQueues(onCopyEnd, copies, copiedJobs);
  }

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
    job.isOverdue = true;
  }

  function recordBacklog(
    serverId: string,
    backlogMs: number,
    nowMs: number,
  ): void {
    const engine = engines.get(serverId);
    if (engine === undefined) return;
    engine.backlogUntilMs = nowMs + Math.min(MAX_BACKLOG_MS, backlogMs);
  }

  function remove(jobId: string, nowMs: number): void {
    const engine = tryFindEngine(jobId);
    const job = engine?.jobs.get(jobId);
    if (engine === undefined || job === undefined) return;
    engine.jobs.delete(jobId);
    // The backlog contained the job that has ended.
    if (engine.backlogUntilMs !== undefined) {
      engine.backlogUntilMs -= job.costMs;
    }
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
    const backlogMs = (engine.backlogUntilMs ?? nowMs) - nowMs;
    return Math.max(0, waitMs - progressMs, backlogMs);
  }

  function tryGetLastStartMs(
    serverId: string,
    nowMs: number,
  ): number | undefined {
    const engine = engines.get(serverId);
    if (engine === undefined) return undefined;
    expireJobs(engine, nowMs);
    let startMs = engine.headStartedAtMs;
    for (const {endsInMs, isOverdue, expiresAtMs} of engine.jobs.values()) {
      if (endsInMs === undefined || isOverdue === true) continue;
      const endsAtMs = expiresAtMs - UNREPORTED_END_SLACK_MS;
      if (endsAtMs < nowMs) startMs = Math.max(startMs, endsAtMs);
    }
    return startMs;
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
      if (job.isOverdue !== true) onAssumedEnd(job);
    }
  }

  function removeServer(serverId: string): void {
    for (const id of engines.get(serverId)?.jobs.keys() ?? []) {
      serverIdsByJob.delete(id);
    }
    engines.delete(serverId);
  }
}

/** Returns how long a job with this predicted time is kept when its end is not reported, in milliseconds. */
function computeJobExpiryMs(predictedMs: number): number {
  return EXPIRY_FACTOR * predictedMs + EXPIRY_SLACK_MS;
}
