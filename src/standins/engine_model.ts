/**
 * A small model engine: continuous batching with a cost for prefill and decode.
 * It stands in for the platform's engines in the demo, in tests and in replays.
 */
import {Err, Ok, type Result} from 'ts-results';
import {
  type BackendFailure,
  type CacheEvent,
  type EngineCall,
  type EngineCommand,
  type EngineEnd,
  type EngineReport,
  type EngineRequest,
  EngineRole,
  type EngineSink,
  EngineState,
  TOKENS_PER_PIECE,
} from '../backends';
import {assertNever, type Clock, type Timer} from '../runtime';
import {Verdict} from '../verdict';

/** Options of an engine model. */
export interface EngineModelOptions {
  readonly id: string;
  readonly address: string;
  readonly clock: Clock;
  readonly role?: EngineRole;
  readonly models?: readonly string[];
  /** Prompt tokens prefilled a second. */
  readonly prefillTokensPerS?: number;
  /** Time of one decode step with an empty batch, in milliseconds. */
  readonly decodeStepMs?: number;
  /** What each running request adds to a decode step, in milliseconds. */
  readonly decodeStepMsPerRequest?: number;
  readonly maxRunning?: number;
  /** KV memory in pieces of 2,048 tokens. */
  readonly totalPieces?: number;
  /** How long a role change takes the engine away, in milliseconds. */
  readonly roleChangeMs?: number;
  readonly checksFencing?: boolean;
}

/** A model engine with faults that can be ordered. */
export interface EngineModel {
  readonly id: string;
  start(request: EngineRequest, sink: EngineSink): EngineCall;
  resume(
    requestId: string,
    firstTokenIndex: number,
    sink: EngineSink,
  ): EngineCall;
  cancel(requestId: string): void;
  getReport(): EngineReport;
  sendCommand(command: EngineCommand): Result<void, BackendFailure>;
  listCacheEvents(afterSequence: number): readonly CacheEvent[];
  /** Breaks every answer; the engine comes back empty, with its starting role. */
  crash(downMs: number): void;
  setLeaving(isLeaving: boolean): void;
}

const DEFAULTS = {
  prefillTokensPerS: 8_000,
  decodeStepMs: 12,
  decodeStepMsPerRequest: 0.4,
  maxRunning: 64,
  totalPieces: 256,
  roleChangeMs: 4_000,
};
/** How long an ended answer can be resumed, in milliseconds. */
const KEEP_ENDED_MS = 30_000;

interface RunningRequest {
  readonly request: EngineRequest;
  sink: EngineSink | undefined;
  prefillLeft: number;
  generated: number;
  end: EngineEnd | undefined;
}

/** Creates an engine model that is ready at once. */
export function createEngineModel(options: EngineModelOptions): EngineModel {
  const {id, clock} = options;
  const startRole = options.role ?? EngineRole.Mixed;
  const checksFencing = options.checksFencing ?? true;
  const roleChangeMs = options.roleChangeMs ?? DEFAULTS.roleChangeMs;
  const prefillTokensPerS =
    options.prefillTokensPerS ?? DEFAULTS.prefillTokensPerS;
  const decodeStepMs = options.decodeStepMs ?? DEFAULTS.decodeStepMs;
  const decodeStepMsPerRequest =
    options.decodeStepMsPerRequest ?? DEFAULTS.decodeStepMsPerRequest;
  const maxRunning = options.maxRunning ?? DEFAULTS.maxRunning;
  const totalPieces = options.totalPieces ?? DEFAULTS.totalPieces;
  let models = new Set(options.models ?? ['small']);
  const adapters = new Set<string>();
  let role: EngineRole = startRole;
  let state: EngineState = EngineState.Ready;
  let version = '1';
  let incarnation = 1;
  let fencingNumber = 0;
  let reportSequence = 0;
  let isDown = false;
  let stepTimer: Timer | undefined;
  const requests = new Map<string, RunningRequest>();
  return {
    id,
    start,
    resume,
    cancel,
    getReport,
    sendCommand,
    listCacheEvents: () => [],
    crash,
    setLeaving: isLeaving => {
      state = isLeaving ? EngineState.Leaving : EngineState.Ready;
    },
  };

  function start(request: EngineRequest, sink: EngineSink): EngineCall {
    const refusal = tryGetRefusal(request);
    if (refusal !== undefined) {
      clock.schedule(0, () => sink.onFailure(refusal));
      return {cancel: () => undefined, setPaused: () => undefined};
    }
    requests.set(request.requestId, {
      request,
      sink,
      prefillLeft: request.promptTokens + request.firstTokenIndex,
      generated: request.firstTokenIndex,
      end: undefined,
    });
    scheduleStep();
    return createCall(request.requestId);
  }

  function createCall(requestId: string): EngineCall {
    return {cancel: () => cancel(requestId), setPaused: () => undefined};
  }

  function tryGetRefusal(request: EngineRequest): BackendFailure | undefined {
    if (isDown) return createRefusal('unavailable', 'the engine is down');
    if (state !== EngineState.Ready) {
      return createRefusal('refused', `the engine is ${state}`);
    }
    if (!models.has(request.model)) {
      return createRefusal('refused', `model ${request.model} is not loaded`);
    }
    if (requests.size >= 4 * maxRunning) {
      return createRefusal('overloaded', 'the queue is full');
    }
    return undefined;
  }

  function resume(
    requestId: string,
    firstTokenIndex: number,
    sink: EngineSink,
  ): EngineCall {
    const running = requests.get(requestId);
    if (running === undefined || isDown) {
      clock.schedule(0, () =>
        sink.onFailure(createRefusal('refused', 'no such answer is held')),
      );
      return {cancel: () => undefined, setPaused: () => undefined};
    }
    running.sink = sink;
    clock.schedule(0, () => replayTokens(running, firstTokenIndex));
    return createCall(requestId);
  }

  function replayTokens(running: RunningRequest, firstIndex: number): void {
    for (let index = firstIndex; index < running.generated; index++) {
      emitToken(running, index);
    }
    if (running.end !== undefined) running.sink?.onEnd(running.end);
  }

  function cancel(requestId: string): void {
    requests.delete(requestId);
  }

  function scheduleStep(): void {
    if (stepTimer !== undefined || isDown) return;
    const batch = getBatch();
    if (batch.length === 0) return;
    stepTimer = clock.schedule(getStepMs(batch), () => {
      stepTimer = undefined;
      runStep(batch);
      scheduleStep();
    });
  }

  function getBatch(): readonly RunningRequest[] {
    return [...requests.values()]
      .filter(running => running.end === undefined)
      .sort((left, right) => right.request.priority - left.request.priority)
      .slice(0, maxRunning);
  }

  function getStepMs(batch: readonly RunningRequest[]): number {
    const prefilling = batch.find(running => running.prefillLeft > 0);
    if (prefilling !== undefined) {
      return (prefilling.prefillLeft / prefillTokensPerS) * 1_000;
    }
    return decodeStepMs + decodeStepMsPerRequest * batch.length;
  }

  function runStep(batch: readonly RunningRequest[]): void {
    const prefilling = batch.find(running => running.prefillLeft > 0);
    if (prefilling !== undefined) {
      prefilling.prefillLeft = 0;
      runDecodeStep(prefilling);
      return;
    }
    for (const running of batch) runDecodeStep(running);
  }

  function runDecodeStep(running: RunningRequest): void {
    if (!requests.has(running.request.requestId)) return;
    const index = running.generated++;
    emitToken(running, index);
    if (running.generated < running.request.maxTokens) return;
    running.end = {
      finishReason: 'stop',
      promptTokens: running.request.promptTokens,
      cachedTokens: 0,
      generatedTokens: running.generated,
    };
    running.sink?.onEnd(running.end);
    clock.schedule(KEEP_ENDED_MS, () => cancel(running.request.requestId));
  }

  function emitToken(running: RunningRequest, index: number): void {
    const nowMs = clock.getMonotonicMs();
    running.sink?.onTokens({
      firstIndex: index,
      count: 1,
      text: `${index === 0 ? '' : ' '}w${index}`,
      firstAtMs: nowMs,
      lastAtMs: nowMs,
    });
  }

  function getReport(): EngineReport {
    const live = [...requests.values()].filter(
      running => running.end === undefined,
    );
    const running = Math.min(live.length, maxRunning);
    return {
      engine: id,
      sequence: ++reportSequence,
      incarnation: `${id}.${incarnation}`,
      role,
      state,
      models: [...models],
      adapters: [...adapters],
      version,
      running,
      waiting: live.length - running,
      prefillTokens: live.reduce((sum, item) => sum + item.prefillLeft, 0),
      decodeTokens: live.reduce(
        (sum, item) => sum + item.request.maxTokens - item.generated,
        0,
      ),
      freePieces: totalPieces - live.reduce(countPieces, 0),
      totalPieces,
      prefillTokensPerS,
      decodeStepMs,
      decodeStepMsPerRequest,
      maxRunning,
      fencingNumber,
    };
  }

  function sendCommand(command: EngineCommand): Result<void, BackendFailure> {
    if (isDown) return Err(createRefusal('unavailable', 'the engine is down'));
    if (checksFencing && command.fencingNumber < fencingNumber) {
      return Err(
        createRefusal(
          'stale-command',
          `fencing number ${command.fencingNumber} is below ${fencingNumber}`,
        ),
      );
    }
    fencingNumber = Math.max(fencingNumber, command.fencingNumber);
    applyOrder(command);
    return Ok(undefined);
  }

  function applyOrder(command: EngineCommand): void {
    const {order} = command;
    switch (order.kind) {
      case 'set-role':
        setRole(order.role);
        return;
      case 'load-model':
        models.add(order.model);
        return;
      case 'unload-model':
        models.delete(order.model);
        return;
      case 'load-adapter':
        adapters.add(order.adapter);
        return;
      case 'set-version':
        version = order.version;
        return;
      case 'set-draining':
        state = order.isDraining ? EngineState.Draining : EngineState.Ready;
        return;
      default:
        assertNever(order);
    }
  }

  function setRole(next: EngineRole): void {
    if (next === role) return;
    state = EngineState.ChangingRole;
    clock.schedule(roleChangeMs, () => {
      role = next;
      state = EngineState.Ready;
    });
  }

  function crash(downMs: number): void {
    isDown = true;
    stepTimer?.cancel();
    stepTimer = undefined;
    const broken = [...requests.values()];
    requests.clear();
    for (const running of broken) {
      if (running.end !== undefined) continue;
      running.sink?.onFailure({
        kind: 'broken',
        verdict: Verdict.MayHaveRun,
        message: 'the engine crashed',
      });
    }
    clock.schedule(downMs, () => {
      isDown = false;
      incarnation++;
      role = startRole;
      state = EngineState.Ready;
      models = new Set(options.models ?? ['small']);
      adapters.clear();
      fencingNumber = 0;
    });
  }
}

function countPieces(sum: number, running: RunningRequest): number {
  const tokens = running.request.promptTokens + running.generated;
  return sum + Math.ceil(tokens / TOKENS_PER_PIECE);
}

function createRefusal(
  kind: BackendFailure['kind'],
  message: string,
): BackendFailure {
  return {kind, verdict: Verdict.NotRun, message};
}
