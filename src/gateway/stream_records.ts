/** Notes where the prompt of a request is read and who generates, and tells the other nodes. */
import {computeTransferMs} from './engine_costs';
import type {FlowContext} from './flow_context';
import type {PeerMessage} from './peer_messages';
import {listSharedParts, type PrefillPlace} from './placement';
import type {EngineLimits, ModelRequest} from './types';

/** Records of one request. */
export interface StreamRecords {
  /** Notes that an engine was sent the prompt. */
  recordPlaced(place: PrefillPlace): void;
  /** Notes that the prompt was read; `ratio` is observed over predicted time, if it says something. */
  recordRead(decodeId: string, ratio?: number): void;
  /** Notes that the prompt will not be read there. */
  recordGivenUp(): void;
  /** Notes that the stream at a decode engine has ended. */
  recordEnd(decodeId: string): void;
}

/** Expected time of one output token, in milliseconds, from the sheets' step time. */
const TOKEN_MS = 4.5;
/** Nodes from which on short reads are not told: with more nodes each hears of more requests. */
const MANY_NODES = 32;
/** Longest read that is not told among many nodes, in milliseconds: a tenth of the shortest objective. */
const SHORT_READ_MS = 30;

/** Creates the records of a request. */
export function createStreamRecords(
  context: FlowContext,
  engine: EngineLimits,
  model: ModelRequest,
  jobId: string,
): StreamRecords {
  let serverId: string | undefined;
  let isTold = true;
  return {recordPlaced, recordRead, recordGivenUp, recordEnd};

  function recordPlaced(place: PrefillPlace): void {
    serverId = place.server.id;
    isTold = place.readMs >= SHORT_READ_MS || context.countPeers() < MANY_NODES;
    context.book.add(
      {id: jobId, serverId, costMs: place.readMs},
      context.clock.getMonotonicMs(),
    );
    context.prefixes.recordRead(serverId, model.parts);
    notify({
      kind: 'placed',
      jobId,
      serverId,
      costMs: Math.round(place.readMs),
      parts: listSharedParts(model),
    });
  }

  function recordRead(decodeId: string, ratio?: number): void {
    if (serverId === undefined) return;
    const nowMs = context.clock.getMonotonicMs();
    const runMs = computeRunMs();
    context.book.remove(jobId, nowMs);
    context.streams.add(decodeId, jobId, nowMs + runMs);
    if (ratio !== undefined) context.health.recordSuccess(serverId, ratio);
    notify({
      kind: 'read',
      jobId,
      serverId,
      isRead: true,
      decodeId,
      runMs,
      ...(ratio === undefined ? {} : {ratio}),
    });
    serverId = undefined;
  }

  function recordGivenUp(): void {
    if (serverId === undefined) return;
    context.book.remove(jobId, context.clock.getMonotonicMs());
    notify({kind: 'read', jobId, serverId, isRead: false});
    serverId = undefined;
  }

  function notify(message: PeerMessage): void {
    if (isTold) context.notifyPeers(message);
  }

  function recordEnd(decodeId: string): void {
    context.streams.remove(decodeId, jobId);
  }

  function computeRunMs(): number {
    const transferMs = computeTransferMs(model.promptTokens, engine, true);
    return Math.round(transferMs + model.maxOutputTokens * TOKEN_MS);
  }
}
