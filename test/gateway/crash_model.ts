/** A model of engines that crash, by chance or because of a part of a prompt, and of the evidence that follows. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createAnsweredParts} from '../../src/gateway/answered_parts';
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
  /** Number of nodes, which take the requests in turn, 1 by default. */
  readonly nodes?: number;
  /** How often callers send a prompt again that a crash broke off, 0 by default. */
  readonly retries?: number;
}

/** What the model found. */
export interface CrashModelResult {
  readonly blames: readonly Blame[];
  /** When each deadly part crashed an engine, in milliseconds. */
  readonly deadlyCrashes: ReadonlyMap<string, readonly number[]>;
  /** When requests with each deadly part were sent to an engine, in milliseconds. */
  readonly deadlySends: ReadonlyMap<string, readonly number[]>;
  readonly crashCount: number;
  /** Number of prompts of sound requests that were sent again. */
  readonly repeatedPrompts: number;
}

interface Prompt {
  readonly parts: readonly string[];
  readonly promptId: string;
  readonly tries: number;
}

interface Stream extends Prompt {
  readonly requestId: string;
  readonly node: number;
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
/** Time after which a caller sends a prompt again. */
const RETRY_MS = 300;
/** Time constant of the counts. */
const COUNT_DECAY_MS = 15_000;

/** Plays the model: nodes that know of each other's crashes at once refuse the streams with a blamed part. */
export function runCrashModel(options: CrashModelOptions): CrashModelResult {
  const {nodes = 1, retries = 0} = options;
  const generator = xoroshiro128plus(options.seed);
  const draw = () => uniformFloat64(generator);
  const blamed = new Set<string>();
  const evidence = createCrashEvidence({isKnown: part => blamed.has(part)});
  const blames: Blame[] = [];
  const deadlyCrashes = new Map<string, number[]>();
  const deadlySends = new Map<string, number[]>();
  const upAtMs = Array.from({length: options.engines}, () => 0);
  const streamCounts = Array.from({length: nodes}, () => 0);
  const brokenCounts = Array.from({length: nodes}, () => 0);
  let timeMs = 0;
  const answered = Array.from({length: nodes}, () =>
    createAnsweredParts({getMonotonicMs: () => timeMs}),
  );
  let streams: Stream[] = [];
  let broken: Array<Prompt & {readonly sentAtMs: number}> = [];
  let crashCount = 0;
  let requestCount = 0;
  let repeatedPrompts = 0;
  for (let nowMs = 0; nowMs < options.durationMs; nowMs += STEP_MS) {
    timeMs = nowMs;
    for (let node = 0; node < nodes; node++) {
      streamCounts[node] *= Math.exp(-STEP_MS / COUNT_DECAY_MS);
      brokenCounts[node] *= Math.exp(-STEP_MS / COUNT_DECAY_MS);
    }
    sendAgain(nowMs);
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
  return {blames, deadlyCrashes, deadlySends, crashCount, repeatedPrompts};

  function isDue(ratePerS: number): boolean {
    return draw() < (ratePerS * STEP_MS) / 1_000;
  }

  function sendAgain(nowMs: number): void {
    const due = broken.filter(({sentAtMs}) => sentAtMs <= nowMs);
    if (due.length === 0) return;
    broken = broken.filter(({sentAtMs}) => sentAtMs > nowMs);
    for (const prompt of due) {
      repeatedPrompts++;
      send(nowMs, prompt.parts, prompt);
    }
  }

  function send(
    nowMs: number,
    parts: readonly string[],
    {promptId, tries}: Pick<Prompt, 'promptId' | 'tries'> = {
      promptId: `prompt:${requestCount}`,
      tries: 1,
    },
  ): void {
    if ([...parts, promptId].some(id => blamed.has(id))) return;
    const up = upAtMs.flatMap((atMs, index) => (atMs <= nowMs ? [index] : []));
    if (up.length === 0) return;
    const isDeadly = options.deadlyParts.includes(parts[1]);
    if (isDeadly) addTime(deadlySends, parts[1], nowMs);
    const delayMs = MIN_CRASH_DELAY_MS + draw() * CRASH_DELAY_RANGE_MS;
    const node = requestCount % nodes;
    streamCounts[node]++;
    streams.push({
      requestId: `q${requestCount++}`,
      node,
      promptId,
      tries,
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
    const lost = streams.filter(stream => stream.engine === engine);
    streams = streams.filter(stream => stream.engine !== engine);
    for (const {parts, promptId, tries} of lost) {
      if (tries > retries) continue;
      const sentAtMs = nowMs + RETRY_MS;
      broken.push({parts, promptId, tries: tries + 1, sentAtMs});
    }
    for (let node = 0; node < nodes; node++) {
      const young = lost.filter(
        stream => stream.node === node && nowMs - stream.beganAtMs < YOUNG_MS,
      );
      if (young.length > 0) report(node, engine, startedAtMs, young, nowMs);
    }
  }

  function report(
    node: number,
    engine: number,
    startedAtMs: number,
    young: readonly Stream[],
    nowMs: number,
  ): void {
    brokenCounts[node] += young.length;
    const crashReport = {
      from: `node-${node}`,
      serverId: `e${engine}`,
      startedAtMs,
      streams: young.map(({requestId, parts, promptId}) => ({
        requestId,
        parts,
        promptId,
        answeredParts: answered[node].listRecent(parts),
        hasBegun: true,
      })),
      streamCount: streamCounts[node],
      brokenCount: brokenCounts[node],
      begunCount: brokenCounts[node],
    };
    for (const blame of evidence.recordCrash(crashReport, nowMs)) {
      blamed.add(blame.partId);
      blames.push(blame);
    }
  }

  function completeStreams(nowMs: number): void {
    for (const {node, parts, promptId, endsAtMs, crashesAtMs} of streams) {
      if (endsAtMs > nowMs || crashesAtMs < Number.POSITIVE_INFINITY) continue;
      for (const id of [...parts, promptId]) evidence.recordSound(id);
      answered[node].record(parts);
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
