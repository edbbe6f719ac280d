/** Counts what the stand-in backend servers actually did, independently of what the code under test reports. */
import type {EngineCommand, EngineRequest} from '../backends';
import type {Clock} from '../runtime';
import type {EngineObserver} from '../standins';

/** Time for which a leaving backend server may still be sent new requests, in milliseconds. */
const LEAVE_GRACE_MS = 3_000;

/** Observes the stand-in backend servers. */
export interface BackendMonitor {
  createObserver(engine: string): EngineObserver;
  /** Records that a server of a plain service ran a call, whose `body` is the idempotency key. */
  recordServiceRun(server: string, requestId: string, body: string): void;
  /** Records that a server began to leave, or that it is back. */
  setLeaving(server: string, isLeaving: boolean): void;
  /** Sets the key by which runs of a non-idempotent request are counted. */
  setIdempotencyKey(requestId: string, key: string): void;
  /** Returns whether a backend server ran the attempt with this request id. */
  hasRun(requestId: string): boolean;
  recordTokens(count: number): void;
  getCounts(): BackendCounts;
}

/** Counts for the fields of the outcome with the same names. */
export interface BackendCounts {
  readonly runTwice: number;
  readonly roleChanges: number;
  readonly commandConflicts: number;
  readonly staleCommandsEffective: number;
  readonly newWorkAfterLeaving: number;
  readonly generatedTokens: number;
}

interface PendingOrder {
  readonly fencingNumber: number;
  readonly order: string;
}

/** Creates a monitor whose counts are 0. */
export function createBackendMonitor(clock: Clock): BackendMonitor {
  const keyOfRequest = new Map<string, string>();
  const runsOfKey = new Map<string, number>();
  const ranRequests = new Set<string>();
  const leavingSinceMs = new Map<string, number>();
  const pendingOrders = new Map<string, PendingOrder>();
  let roleChanges = 0;
  let commandConflicts = 0;
  let staleCommandsEffective = 0;
  let newWorkAfterLeaving = 0;
  let generatedTokens = 0;
  return {
    createObserver,
    recordServiceRun,
    setLeaving,
    setIdempotencyKey: (requestId, key) =>
      void keyOfRequest.set(requestId, key),
    hasRun: requestId => ranRequests.has(requestId),
    recordTokens: count => {
      generatedTokens += count;
    },
    getCounts: () => ({
      runTwice: [...runsOfKey.values()].filter(runs => runs > 1).length,
      roleChanges,
      commandConflicts,
      staleCommandsEffective,
      newWorkAfterLeaving,
      generatedTokens,
    }),
  };

  function createObserver(engine: string): EngineObserver {
    return {
      onOffered: () => checkLeaving(engine),
      onRun: recordEngineRun,
      onCommand: (command, highestFencingNumber) =>
        recordCommand(engine, command, highestFencingNumber),
      onRoleChange: isChanging => recordRoleChange(engine, isChanging),
    };
  }

  function checkLeaving(server: string): void {
    const sinceMs = leavingSinceMs.get(server);
    if (sinceMs === undefined) return;
    if (clock.getMonotonicMs() - sinceMs > LEAVE_GRACE_MS)
      newWorkAfterLeaving++;
  }

  /** Records a run; the decode phase of a request prefilled at another engine does not count again. */
  function recordEngineRun(request: EngineRequest): void {
    const isDecodeAfterPrefill =
      request.phase === 'decode' && request.kv !== undefined;
    if (!isDecodeAfterPrefill) recordRun(request.requestId);
  }

  function recordRun(requestId: string): void {
    ranRequests.add(requestId);
    const key = keyOfRequest.get(requestId);
    if (key === undefined) return;
    runsOfKey.set(key, (runsOfKey.get(key) ?? 0) + 1);
  }

  function recordServiceRun(server: string, requestId: string): void {
    checkLeaving(server);
    recordRun(requestId);
  }

  function setLeaving(server: string, isLeaving: boolean): void {
    if (isLeaving) leavingSinceMs.set(server, clock.getMonotonicMs());
    else leavingSinceMs.delete(server);
  }

  function recordRoleChange(engine: string, isChanging: boolean): void {
    if (isChanging) roleChanges++;
    else pendingOrders.delete(engine);
  }

  /** Records a command; a conflict orders another role than a pending command with a higher fencing number. */
  function recordCommand(
    engine: string,
    command: EngineCommand,
    highestFencingNumber: number,
  ): void {
    if (command.fencingNumber < highestFencingNumber) staleCommandsEffective++;
    if (command.order.kind !== 'set-role') return;
    const order = command.order.role;
    const pending = pendingOrders.get(engine);
    const isConflict =
      pending !== undefined &&
      pending.order !== order &&
      pending.fencingNumber > command.fencingNumber;
    if (isConflict) commandConflicts++;
    pendingOrders.set(engine, {fencingNumber: command.fencingNumber, order});
  }
}
