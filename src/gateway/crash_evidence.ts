/**
 * Finds the parts of prompts, and the whole prompts, that crash engines. A part
 * or prompt is blamed when each of its recent requests ended in a crash and that
 * many crashes are unlikely to have hit these requests by chance.
 */
import {trimOldest} from '../runtime/trim_oldest';
import {formatProcessKey} from './process_key';

/** A young stream that broke off together with its connection. */
export interface BrokenStream {
  readonly requestId: string;
  /** Ids of the parts that other requests may share, in prompt order. */
  readonly parts: readonly string[];
  /** Id of the whole prompt; absent when it has no parts. */
  readonly promptId?: string;
  /** Those of the parts that the reporting node has seen answered lately, in whatever prompts. */
  readonly answeredParts?: readonly string[];
  /** True when the head of its answer had arrived. */
  readonly hasBegun: boolean;
}

/** Streams of one node that an engine broke off at one time. */
export interface CrashReport {
  /** Name of the node that reports. */
  readonly from: string;
  readonly serverId: string;
  /** Start time of the server's process, in milliseconds since the Unix epoch. */
  readonly startedAtMs: number;
  readonly streams: readonly BrokenStream[];
  /** Decaying counts of the reporting node's recent streams, of the young ones among them that broke off, and of those whose answers had begun. */
  readonly streamCount: number;
  readonly brokenCount: number;
  readonly begunCount: number;
}

/** A part or prompt that crashes engines, and what the decision is based on. */
export interface Blame {
  readonly partId: string;
  /** Number of crashes under requests with the part or prompt. */
  readonly crashCount: number;
  /** Number of all crashes since the first of them. */
  readonly allCrashCount: number;
  /** Fraction of all streams that break off young, after their answers have begun if that holds for the part's requests. */
  readonly hazard: number;
  /** Upper bound on the probability that the crashes hit the part's requests by chance. */
  readonly probability: number;
}

/** Evidence from crashes and completed streams. */
export interface CrashEvidence {
  /** Records a report that arrived at `nowMs` on the monotonic clock; returns the parts and prompts that are to blame. */
  recordCrash(report: CrashReport, nowMs: number): Blame[];
  /** Records that an engine has completed an answer to this prompt, or to one with this part. */
  recordSound(suspectId: string): void;
  /** True when a recent crash involved the part or prompt and no completed answer has cleared it since. */
  isDoubted(suspectId: string): boolean;
  /** Number of crashes under requests with the part or prompt since it was last cleared. */
  countCrashes(suspectId: string): number;
  /** True when the server has crashed at or after this time on the monotonic clock, in milliseconds. */
  hasCrashed(serverId: string, startedAtMs: number, sinceMs: number): boolean;
}

/** Options of the evidence. */
export interface CrashEvidenceOptions {
  /** True when the part or prompt is known to crash engines; a part explains the crashes under its requests, a prompt may be due to one of its parts itself. */
  readonly isKnown: (suspectId: string) => boolean;
}

interface Crash {
  readonly atMs: number;
  readonly serverKeys: Set<string>;
  /** True when a part that is known to crash engines was among its requests. */
  isExplained: boolean;
}

interface Doubt {
  firstCrashMs: number;
  /** Stream that was hit, by the crash that hit it. */
  readonly hits: Map<Crash, BrokenStream>;
  /** True while the answers to all these requests had begun. */
  hasBegun: boolean;
}

/** Crashes of different servers within this time have one cause, such as the loss of a rack, in milliseconds. */
const COMMON_CAUSE_MS = 30;
/** Time within which reports on the same process of a server are about one crash, in milliseconds: busy nodes notice it late. */
const SAME_CRASH_MS = 1_000;
/** Time after which a crash no longer counts, in milliseconds. */
const EXPIRY_MS = 300_000;
/** Fewest crashes with which a part is blamed. */
const MIN_CRASHES = 3;
/** Fewest requests among these crashes: a request that is sent again may crash several engines by itself. */
const MIN_REQUESTS = 3;
/** Fewest crashes that the prompt which was hit most often does not explain. */
const MIN_OTHER_CRASHES = 2;
/** Fewest crashes with which a whole prompt is blamed. */
const MIN_PROMPT_CRASHES = 2;
/** Crashes under a part from which it explains them better than the parts before it. */
const MIN_REPEATED = 2;
/** Highest probability of chance with which a part is blamed of which no answer is known. */
const MAX_PROBABILITY = 2e-4;
/** The same for a part that has been answered lately: a day tries hundreds of these, as crashes hit the parts in use. */
const MAX_ANSWERED_PROBABILITY = 5e-6;
/** The same for a whole prompt: it is refused only to callers whose request has broken off as often before. */
const MAX_PROMPT_PROBABILITY = 0.1;
/** Lower bound on the hazard: the counts of a few nodes are too small to show less. */
const MIN_HAZARD = 0.02;
/** Streams that are assumed to have been served before any were counted. */
const PRIOR_STREAMS = 20;
/** Age from which a node's counts are ignored, in milliseconds. */
const COUNT_EXPIRY_MS = 20_000;
const MAX_DOUBTS = 5_000;
const MAX_CRASHES = 500;

/** Creates evidence without any crashes. */
export function createCrashEvidence(
  options: CrashEvidenceOptions,
): CrashEvidence {
  let crashes: Crash[] = [];
  const doubts = new Map<string, Doubt>();
  const counts = new Map<string, {report: CrashReport; atMs: number}>();
  return {
    recordCrash,
    recordSound: suspectId => {
      doubts.delete(suspectId);
    },
    isDoubted: suspectId => doubts.has(suspectId),
    countCrashes: suspectId => doubts.get(suspectId)?.hits.size ?? 0,
    hasCrashed: (serverId, startedAtMs, sinceMs) => {
      const key = formatProcessKey(serverId, startedAtMs);
      return crashes.some(
        crash => crash.atMs >= sinceMs && crash.serverKeys.has(key),
      );
    },
  };

  function recordCrash(report: CrashReport, nowMs: number): Blame[] {
    expire(nowMs);
    counts.set(report.from, {report, atMs: nowMs});
    const crash = findCrash(report, nowMs);
    const isExplained = report.streams.some(({parts}) =>
      parts.some(options.isKnown),
    );
    if (isExplained) setExplained(crash);
    return crash.isExplained ? [] : recordStreams(crash, report.streams);
  }

  function recordStreams(
    crash: Crash,
    streams: readonly BrokenStream[],
  ): Blame[] {
    // Answers that had begun come first, as those are the likelier causes.
    for (const stream of [...streams].sort(compareBegun)) {
      for (const id of listIds(stream)) addHit(id, crash, stream);
    }
    const blames: Blame[] = [];
    for (const stream of streams) {
      const promptBlame = tryBlamePrompt(stream);
      const partBlame = tryBlamePart(stream.parts);
      // Two crashes under a prompt may yet be due to one of its parts.
      if (promptBlame !== undefined) blames.push(promptBlame);
      if (partBlame === undefined) continue;
      const hits = doubts.get(partBlame.partId)?.hits.keys() ?? [];
      for (const hit of [...hits]) setExplained(hit);
      blames.push(partBlame);
    }
    return blames;
  }

  /** A crash that one part explains says nothing about the other parts of its requests. */
  function setExplained(crash: Crash): void {
    crash.isExplained = true;
    for (const [suspectId, {hits}] of doubts) {
      hits.delete(crash);
      if (hits.size === 0) doubts.delete(suspectId);
    }
  }

  function findCrash(report: CrashReport, nowMs: number): Crash {
    const key = formatProcessKey(report.serverId, report.startedAtMs);
    const known = crashes.findLast(crash => {
      const boundMs = crash.serverKeys.has(key)
        ? SAME_CRASH_MS
        : COMMON_CAUSE_MS;
      return nowMs - crash.atMs <= boundMs;
    });
    const crash = known ?? {
      atMs: nowMs,
      serverKeys: new Set<string>(),
      isExplained: false,
    };
    crash.serverKeys.add(key);
    if (known === undefined) crashes.push(crash);
    return crash;
  }

  /** Counts at most one stream for each crash. */
  function addHit(suspectId: string, crash: Crash, stream: BrokenStream): void {
    const doubt = doubts.get(suspectId) ?? {
      firstCrashMs: crash.atMs,
      hits: new Map<Crash, BrokenStream>(),
      hasBegun: true,
    };
    // A late report may be about a crash before the one that raised the doubt.
    doubt.firstCrashMs = Math.min(doubt.firstCrashMs, crash.atMs);
    // Deleting first keeps the doubts in the order of their latest crashes.
    doubts.delete(suspectId);
    doubts.set(suspectId, doubt);
    if (doubt.hits.has(crash)) return;
    doubt.hits.set(crash, stream);
    doubt.hasBegun &&= stream.hasBegun;
  }

  /** Of several parts that explain the crashes, the last one affects the fewest other requests. */
  function tryBlamePart(parts: readonly string[]): Blame | undefined {
    return parts
      .filter(
        partId =>
          countRequests(partId) >= MIN_REQUESTS &&
          countOtherCrashes(partId) >= MIN_OTHER_CRASHES,
      )
      .map(computeBlame)
      .findLast(
        blame =>
          blame.crashCount >= MIN_CRASHES &&
          blame.probability <=
            (isAnswered(blame.partId)
              ? MAX_ANSWERED_PROBABILITY
              : MAX_PROBABILITY),
      );
  }

  function isAnswered(partId: string): boolean {
    return listHits(partId).some(
      ({answeredParts}) => answeredParts?.includes(partId) === true,
    );
  }

  function countRequests(partId: string): number {
    return new Set(listHits(partId).map(({requestId}) => requestId)).size;
  }

  /** Counts the crashes under a part without those under its prompt that was hit most often. */
  function countOtherCrashes(partId: string): number {
    const hits = listHits(partId);
    const counts = countByPrompt(hits).values();
    return hits.length - Math.max(0, ...counts);
  }

  function listHits(suspectId: string): BrokenStream[] {
    return [...(doubts.get(suspectId)?.hits.values() ?? [])];
  }

  function tryBlamePrompt({promptId}: BrokenStream): Blame | undefined {
    if (promptId === undefined || options.isKnown(promptId)) return undefined;
    const blame = computeBlame(promptId);
    return blame.crashCount >= MIN_PROMPT_CRASHES &&
      blame.probability <= MAX_PROMPT_PROBABILITY
      ? blame
      : undefined;
  }

  /**
   * The first crash selects the part, so it says nothing. The probability that
   * the following requests break off young is the hazard for each; that they hit
   * different crashes, none of which has another explanation, is less likely the
   * fewer of these there are.
   */
  function computeBlame(partId: string): Blame {
    const crashCount = countUnexplained(partId);
    const doubt = doubts.get(partId);
    const firstCrashMs = doubt?.firstCrashMs ?? 0;
    const all = crashes.filter(crash => crash.atMs >= firstCrashMs);
    const open = all.filter(crash => !crash.isExplained);
    const hazard = computeHazard(doubt?.hasBegun ?? false);
    let probability = hazard ** Math.max(0, crashCount - 1);
    for (let hit = 0; hit < crashCount; hit++) {
      probability *= (open.length - hit) / all.length;
    }
    return {
      partId,
      crashCount,
      allCrashCount: all.length,
      hazard,
      probability,
    };
  }

  /** Counts the crashes under requests with the part, without those that a part further on explains as well. */
  function countUnexplained(suspectId: string): number {
    const hits = listHits(suspectId);
    if (hits.some(({promptId}) => promptId === suspectId)) return hits.length;
    const unexplained = hits.filter(
      ({parts}) =>
        !parts
          .slice(parts.indexOf(suspectId) + 1)
          .some(later => (doubts.get(later)?.hits.size ?? 0) >= MIN_REPEATED),
    );
    // Further crashes under a prompt are explained by the prompt.
    const counts = [...countByPrompt(unexplained).values()];
    return counts.reduce(
      (sum, count) => sum + Math.min(count, MIN_PROMPT_CRASHES),
      0,
    );
  }

  function computeHazard(hasBegun: boolean): number {
    let streamCount = PRIOR_STREAMS;
    let brokenCount = 0;
    for (const {report} of counts.values()) {
      streamCount += report.streamCount;
      brokenCount += hasBegun ? report.begunCount : report.brokenCount;
    }
    return Math.min(1, Math.max(MIN_HAZARD, brokenCount / streamCount));
  }

  function expire(nowMs: number): void {
    crashes = crashes
      .slice(-MAX_CRASHES)
      .filter(crash => nowMs - crash.atMs <= EXPIRY_MS);
    const kept = new Set(crashes);
    for (const [suspectId, {hits}] of doubts) {
      for (const crash of hits.keys()) {
        if (!kept.has(crash)) hits.delete(crash);
      }
      if (hits.size === 0) doubts.delete(suspectId);
    }
    trimOldest(doubts, MAX_DOUBTS);
    for (const [node, {atMs}] of counts) {
      if (nowMs - atMs > COUNT_EXPIRY_MS) counts.delete(node);
    }
  }
}

/** Counts streams by their prompts, and those without one by their requests. */
function countByPrompt(streams: readonly BrokenStream[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {promptId, requestId} of streams) {
    const prompt = promptId ?? requestId;
    counts.set(prompt, (counts.get(prompt) ?? 0) + 1);
  }
  return counts;
}

function listIds({parts, promptId}: BrokenStream): readonly string[] {
  return promptId === undefined ? parts : [...parts, promptId];
}

function compareBegun(left: BrokenStream, right: BrokenStream): number {
  return Number(right.hasBegun) - Number(left.hasBegun);
}
