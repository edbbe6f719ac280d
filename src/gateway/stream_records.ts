/** Records which engines prefill and decode a request, and notifies the other nodes. */
import {MIN_SCOPED_PEERS} from '../announcements';
import type {Timer} from '../runtime/types';
import {computeTransferMs} from './engine_costs';
import type {FlowContext} from './flow_context';
import type {PeerMessage, PrefillSample} from './peer_messages';
import {listSharedParts, type PrefillPlacement} from './placement';
import {PREFILL_END_TOLERANCE_MS} from './prefill_queues';
import type {RequestTask} from './request_task';
import type {EngineLimits, ModelRequest} from './types';

/** Records the progress of one request. */
export interface StreamRecords {
  /** Records that the prompt was sent to a prefill engine. */
  recordPlaced(placement: PrefillPlacement): void;
  /** Records that the prompt's prefill is late although the engine lives, and how many requests wait there if the engine states it. */
  recordLate(waitingCount?: number): void;
  /** Records that the prompt was prefilled, with the time it took if that is a valid sample of the engine's speed. */
  recordPrefilled(decodeId: string, sample?: PrefillSample): void;
  /** Records that the prompt will not be prefilled by the engine that it was sent to. */
  recordAbandoned(): void;
  /** Records that the stream on a decode engine has ended. */
  recordEnd(decodeId: string): void;
}

/** Shortest prefill that is announced in a large fleet, in milliseconds. Many prompts of 20 to 60 ms that nobody knows of cost more goodput than their messages (docs/design/prompt_messages.md); shorter ones add little to a queue. */
const MIN_ANNOUNCED_PREFILL_MS = 20;
/** Shortest run time of a stream, divided by the number of the engine's slots, for which the stream is announced in a large fleet, in milliseconds: waiting for its slot would exceed an objective. */
const MIN_ANNOUNCED_RUN_MS = 100;

/** Updates the measured speed of an engine and of its service from a prompt that the engine has prefilled. */
export function recordPrefillSample(
  trackers: Pick<FlowContext, 'health' | 'speeds' | 'capacities' | 'state'>,
  serverId: string,
  sample: PrefillSample,
): void {
  const {
    service,
    sheetMs,
    observedMs,
    ratio,
    ratioError = 0,
    load = 0,
  } = sample;
  trackers.health.recordSuccess(serverId);
  const server = trackers.state.tryGetUsable(serverId);
  if (server !== undefined && ratio !== undefined) {
    // Only what exceeds the uncertainty counts as a deviation of the engine.
    const usual = trackers.speeds.getEngineFactor(service);
    const certain = Math.min(
      ratio + ratioError,
      Math.max(ratio - ratioError, usual),
    );
    trackers.capacities.recordSample(server, {ratio: certain, load});
    trackers.speeds.recordEngineRatio(service, ratio);
  }
  trackers.speeds.recordPrefill(service, sheetMs, observedMs);
}

/** Creates the records of a request. */
export function createStreamRecords(
  context: FlowContext,
  task: Pick<RequestTask, 'service' | 'route'>,
  engine: EngineLimits,
  model: ModelRequest,
  jobId: string,
): StreamRecords {
  const runMs = computeRunMs();
  const isLongRun = runMs / engine.maxRunning >= MIN_ANNOUNCED_RUN_MS;
  let serverId: string | undefined;
  let costMs = 0;
  let isAnnounced = true;
  /** Predicted end of the prefill on the monotonic clock, when the other nodes assume that end unless notified. */
  let assumedEndMs: number | undefined;
  let overdueTimer: Timer | undefined;
  return {
    recordPlaced,
    recordLate,
    recordPrefilled,
    recordAbandoned,
    recordEnd,
  };

  function recordPlaced(placement: PrefillPlacement): void {
    serverId = placement.server.id;
    costMs = placement.prefillMs;
    assumedEndMs = undefined;
    const nowMs = context.clock.getMonotonicMs();
    const isLargeFleet = context.countPeers() >= MIN_SCOPED_PEERS;
    isAnnounced =
      placement.prefillMs >= MIN_ANNOUNCED_PREFILL_MS ||
      isLongRun ||
      !isLargeFleet;
    const endsInMs = placement.waitMs + placement.prefillMs;
    context.prefillQueues.add(
      {id: jobId, serverId, costMs: placement.prefillMs},
      nowMs,
    );
    context.prefixes.recordPrefill(serverId, model.parts);
    notify({
      kind: 'placed',
      jobId,
      serverId,
      costMs: Math.round(placement.prefillMs),
      parts: listSharedParts(model),
      ...(isLargeFleet ? {endsInMs: Math.round(endsInMs)} : {}),
      ...(isLargeFleet && placement.timeFactor !== 1
        ? {factor: formatFactor(placement.timeFactor)}
        : {}),
    });
    if (isLargeFleet && isAnnounced) scheduleOverdue(nowMs, endsInMs);
  }

  function formatFactor(timeFactor: number): number {
    const factor = timeFactor * context.speeds.getEngineFactor(task.service);
    return Math.round(factor * 100) / 100;
  }

  /** Schedules a notification for the case that the prefill has not ended by its predicted end. */
  function scheduleOverdue(nowMs: number, endsInMs: number): void {
    assumedEndMs = nowMs + endsInMs;
    overdueTimer = context.clock.schedule(
      endsInMs + PREFILL_END_TOLERANCE_MS,
      () => {
        assumedEndMs = undefined;
        notify({
          kind: 'overdue',
          jobId,
          ...(serverId === undefined ? {} : {serverId}),
        });
      },
    );
  }

  /** The known queue is too short, as the engine has prompts that this node does not know of: at least this one is still to be prefilled. */
  function recordLate(waitingCount = 0): void {
    if (serverId === undefined) return;
    const nowMs = context.clock.getMonotonicMs();
    context.prefillQueues.recordOverdue(jobId, nowMs);
    const backlogMs = (waitingCount + 1) * costMs;
    context.prefillQueues.recordBacklog(serverId, backlogMs, nowMs);
  }

  /** True when the other nodes assume, without a message, that the prefill ends about now. */
  function isAsPredicted(nowMs: number): boolean {
    return (
      assumedEndMs !== undefined &&
      Math.abs(nowMs - assumedEndMs) <= PREFILL_END_TOLERANCE_MS
    );
  }

  function recordPrefilled(decodeId: string, sample?: PrefillSample): void {
    if (serverId === undefined) return;
    const nowMs = context.clock.getMonotonicMs();
    context.prefillQueues.remove(jobId, nowMs);
    context.streams.add(decodeId, jobId, nowMs + runMs);
    if (sample !== undefined) recordPrefillSample(context, serverId, sample);
    overdueTimer?.cancel();
    if (isLongRun || !isAsPredicted(nowMs)) {
      notify({
        kind: 'read',
        jobId,
        serverId,
        isRead: true,
        decodeId,
        runMs,
        ...(isLongRun ? {isLongRun: true} : {}),
        ...(sample === undefined ? {} : {sample}),
      });
    }
    serverId = undefined;
  }

  function recordAbandoned(): void {
    if (serverId === undefined) return;
    context.prefillQueues.remove(jobId, context.clock.getMonotonicMs());
    overdueTimer?.cancel();
    notify({kind: 'read', jobId, serverId, isRead: false});
    serverId = undefined;
  }

  function notify(message: PeerMessage): void {
    if (isAnnounced) context.notifyPeers(message);
  }

  function recordEnd(decodeId: string): void {
    context.streams.remove(decodeId, jobId);
  }

  function computeRunMs(): number {
    const transferMs = computeTransferMs(model.promptTokens, engine, true);
    const slotMs = context.speeds.predictRunMs(task.service, task.route.name);
    return Math.round(transferMs + slotMs);
  }
}
