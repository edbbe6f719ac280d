/** A model of engines that crash, by chance or because of a part of a prompt, and of the evidence that follows. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  type Blame,
  createCrashEvidence,
} from '../../src/gateway/crash_evidence';

/** Options of the model; rates are per second. */
export interface CrashModelOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly engines: number;
  /** Rate of sound requests, and number of the second parts that they share. */
  readonly soundRatePerS: number;
  readonly soundParts: number;
  /** Rate of requests with each deadly part. */
  readonly deadlyRatePerS: number;
  readonly deadlyParts: readonly string[];
  /** Rate of crashes by chance, and number of engines that crash at the same moment. */
  readonly crashRatePerS: number;
  readonly crashedEngines: number;
}

/** What the model found. */
export interface CrashModelResult {
  readonly blames: readonly Blame[];
  /** When each deadly part crashed an engine, in milliseconds. */
  readonly deadlyCrashes: ReadonlyMap<string, readonly number[]>;
  /** When requests with each deadly part were sent to an engine, in milliseconds. */
  readonly deadlySends: ReadonlyMap<string, readonly number[]>;
  readonly crashCount: number;
}

interface Stream {
  readonly requestId: string;
  readonly parts: readonly string[];
  readonly engine: number;
  readonly beganAtMs: number;
  readonly endsAtMs: number;
  /** When the engine crashes because of the prompt. */
  readonly crashesAtMs: number;
}

const STEP_MS = 5;
const DOWN_MS = 3_000;
const MIN_STREAM_MS = 60;
const STREAM_RANGE_MS = 400;
/** Time from the beginning of an answer to the crash that a deadly part causes. */
const MIN_CRASH_DELAY_MS = 30;
const CRASH_DELAY_RANGE_MS = 100;
const YOUNG_MS = 250;
const FIRST_PARTS = 5;
const NODE = 'node';
/** Time constant of the counts. */
const COUNT_DECAY_MS = 15_000;

/** Plays the model: one node sees all streams, and refuses those with a blamed part. */
export function runCrashModel(options: CrashModelOptions): CrashModelResult {
  const generator = xoroshiro128plus(options.seed);
  const draw = () => uniformFloat64(generator);
  const blamed = new Set<string>();
  const evidence = createCrashEvidence({isKnown: part => blamed.has(part)});
  const blames: Blame[] = [];
  const deadlyCrashes = new Map<string, number[]>();
  const deadlySends = new Map<string, number[]>();
  const upAtMs = Array.from({length: options.engines}, () => 0);
  let streams: Stream[] = [];
  let crashCount = 0;
  let requestCount = 0;
  let streamCount = 0;
  let brokenCount = 0;
  for (let nowMs = 0; nowMs < options.durationMs; nowMs += STEP_MS) {
    streamCount *= Math.exp(-STEP_MS / COUNT_DECAY_MS);
    brokenCount *= Math.exp(-STEP_MS / COUNT_DECAY_MS);
    if (isDue(options.soundRatePerS)) {
      const first = Math.floor(draw() * FIRST_PARTS);
      const second = Math.floor(draw() * options.soundParts);
      send(nowMs, [`f${first}`, `f${first}s${second}`]);
    }
    for (const part of options.deadlyParts) {
      if (isDue(options.deadlyRatePerS)) send(nowMs, ['f0', part]);
    }
    if (isDue(options.crashRatePerS)) crashByChance(nowMs);
    for (const stream of streams) {
      if (stream.crashesAtMs > nowMs || upAtMs[stream.engine] > nowMs) continue;
      addTime(deadlyCrashes, stream.parts[1], nowMs);
      crash(stream.engine, nowMs);
    }
    completeStreams(nowMs);
  }
  return {blames, deadlyCrashes, deadlySends, crashCount};

  function isDue(ratePerS: number): boolean {
    return draw() < (ratePerS * STEP_MS) / 1_000;
  }

  function send(nowMs: number, parts: readonly string[]): void {
    if (parts.some(part => blamed.has(part))) return;
    const up = upAtMs.flatMap((atMs, index) => (atMs <= nowMs ? [index] : []));
    if (up.length === 0) return;
    const isDeadly = options.deadlyParts.includes(parts[1]);
    if (isDeadly) addTime(deadlySends, parts[1], nowMs);
    const delayMs = MIN_CRASH_DELAY_MS + draw() * CRASH_DELAY_RANGE_MS;
    streamCount++;
    streams.push({
      requestId: `q${requestCount++}`,
      parts,
      engine: up[Math.floor(draw() * up.length)],
      beganAtMs: nowMs,
      endsAtMs: nowMs + MIN_STREAM_MS + draw() * STREAM_RANGE_MS,
      crashesAtMs: isDeadly ? nowMs + delayMs : Number.POSITIVE_INFINITY,
    });
  }

  function crashByChance(nowMs: number): void {
    for (let count = 0; count < options.crashedEngines; count++) {
      crash(Math.floor(draw() * options.engines), nowMs);
    }
  }

  function crash(engine: number, nowMs: number): void {
    if (upAtMs[engine] > nowMs) return;
    const startedAtMs = upAtMs[engine];
    upAtMs[engine] = nowMs + DOWN_MS;
    crashCount++;
    const broken = streams.filter(
      stream => stream.engine === engine && nowMs - stream.beganAtMs < YOUNG_MS,
    );
    streams = streams.filter(stream => stream.engine !== engine);
    if (broken.length === 0) return;
    brokenCount += broken.length;
    const report = {
      from: NODE,
      serverId: `e${engine}`,
      startedAtMs,
      streams: broken.map(stream => ({...stream, hasBegun: true})),
      streamCount,
      brokenCount,
      begunCount: brokenCount,
    };
    for (const blame of evidence.recordCrash(report, nowMs)) {
      blamed.add(blame.partId);
      blames.push(blame);
    }
  }

  function completeStreams(nowMs: number): void {
    for (const {parts, endsAtMs, crashesAtMs} of streams) {
      if (endsAtMs > nowMs || crashesAtMs < Number.POSITIVE_INFINITY) continue;
      for (const part of parts) evidence.recordSound(part);
    }
    streams = streams.filter(
      ({endsAtMs, crashesAtMs}) =>
        endsAtMs > nowMs || crashesAtMs < Number.POSITIVE_INFINITY,
    );
  }
}

function addTime(
  times: Map<string, number[]>,
  part: string,
  atMs: number,
): void {
  times.set(part, [...(times.get(part) ?? []), atMs]);
}
