/** Generates traces from a seed: phases, each with a load and a mix of request classes. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {ENGINE_DEFAULTS} from '../standins';
import type {Trace, TraceHeader, TraceRequest} from './types';
import type {Range, WorkloadClass} from './workloads';

/** A part of a trace with a fixed mean load and mix of request classes. */
export interface TracePhase {
  readonly durationMs: number;
  /** Offered work as a fraction of what the fleet's engines can do in the best roles; above 1 is overload. */
  readonly load: number;
  /** Relative share of each class among the requests; the shares need not add up to 1. */
  readonly mix: Readonly<Record<string, number>>;
}

/** Parameters of a generated trace. */
export interface TraceSpec {
  readonly header: Omit<TraceHeader, 'generated'>;
  readonly seed: number;
  readonly classes: Readonly<Record<string, WorkloadClass>>;
  readonly phases: readonly TracePhase[];
  /** Maximum random deviation of the load from its mean, as a fraction of it, 0 to 1. */
  readonly burstiness?: number;
  /** Fraction of the requests with an idempotency key that are sent twice with it, 0 to 1. */
  readonly repeatedKeys?: number;
}

/** Time between random changes of the load, in milliseconds. */
const BURST_MS = 3_000;
/** Delay before a caller repeats a key, in milliseconds. */
const REPEAT_DELAY_MS: Range = [5, 1_500];
/** Longest decode step that the target for the time between tokens allows, in milliseconds. */
const MAX_STEP_MS = 42;
const GENERATOR_NAME = 'anvilstack';

/** Generates a trace; the same spec gives the same trace. */
export function createTrace(spec: TraceSpec): Trace {
  const generator = xoroshiro128plus(spec.seed);
  const requests: TraceRequest[] = [];
  let startMs = 0;
  let keyCount = 0;
  for (const phase of spec.phases) {
    addPhase(phase, startMs);
    startMs += phase.durationMs;
  }
  requests.sort((left, right) => left.at_ms - right.at_ms);
  const generated = {by: GENERATOR_NAME, seed: spec.seed};
  return {header: {...spec.header, generated}, requests};

  function addPhase(phase: TracePhase, fromMs: number): void {
    const requestsPerMs = computeRequestsPerMs(spec, phase);
    let atMs = fromMs;
    let burstEndMs = fromMs;
    let loadFactor = 1;
    for (;;) {
      if (atMs >= burstEndMs) {
        burstEndMs += BURST_MS;
        loadFactor = 1 + (2 * getFloat() - 1) * (spec.burstiness ?? 0);
      }
      atMs += -Math.log(1 - getFloat()) / (requestsPerMs * loadFactor);
      if (atMs >= fromMs + phase.durationMs) return;
      addRequest(phase, Math.round(atMs));
    }
  }

  function addRequest(phase: TracePhase, atMs: number): void {
    const workload = spec.classes[chooseClass(phase)];
    const request = createRequest(workload, atMs);
    requests.push(request);
    const isRepeated =
      request.key !== undefined && getFloat() < (spec.repeatedKeys ?? 0);
    if (!isRepeated) return;
    const repeatAtMs = atMs + getInt(REPEAT_DELAY_MS);
    requests.push({...request, at_ms: repeatAtMs});
  }

  function chooseClass(phase: TracePhase): string {
    const entries = Object.entries(phase.mix);
    const total = entries.reduce((sum, [, share]) => sum + share, 0);
    let point = getFloat() * total;
    for (const [name, share] of entries) {
      point -= share;
      if (point < 0) return name;
    }
    return entries[0][0];
  }

  function createRequest(workload: WorkloadClass, atMs: number): TraceRequest {
    const {prefixes} = workload;
    const account =
      workload.accounts[getInt([0, workload.accounts.length - 1])];
    return {
      at_ms: atMs,
      client_account: account,
      kind: workload.kind,
      service: workload.service,
      prompt_tokens: getInt(workload.promptTokens),
      output_tokens: getInt(workload.outputTokens),
      deadline_ms: workload.deadlineMs,
      urgent: workload.urgent,
      idempotent: workload.idempotent,
      key: workload.idempotent ? undefined : `k${++keyCount}`,
      prefix:
        prefixes === undefined ? undefined : `p${getInt([1, prefixes.count])}`,
      prefix_tokens: prefixes?.tokens ?? 0,
    };
  }

  function getFloat(): number {
    return uniformFloat64(generator);
  }

  function getInt([low, high]: Range): number {
    return uniformInt(generator, low, high);
  }
}

/** Returns the minimum engine seconds of a mean request of a class; a shared prefix counts as cached. */
function computeEngineSeconds(workload: WorkloadClass): number {
  const {prefillTokensPerS, decodeStepMs, decodeStepMsPerRequest} =
    ENGINE_DEFAULTS;
  const prompt =
    getMean(workload.promptTokens) - (workload.prefixes?.tokens ?? 0);
  const usefulShare = 1 - decodeStepMs / MAX_STEP_MS;
  const decodeS =
    (getMean(workload.outputTokens) * decodeStepMsPerRequest) /
    1_000 /
    usefulShare;
  return prompt / prefillTokensPerS + decodeS;
}

function computeRequestsPerMs(spec: TraceSpec, phase: TracePhase): number {
  let total = 0;
  let seconds = 0;
  for (const [name, share] of Object.entries(phase.mix)) {
    total += share;
    seconds += share * computeEngineSeconds(spec.classes[name]);
  }
  const engines = spec.header.engines.length;
  return (phase.load * engines) / (seconds / total) / 1_000;
}

function getMean([low, high]: Range): number {
  return (low + high) / 2;
}
