/**
 * Keeps parts of prompts, and whole prompts, that crash engines away from them.
 * The nodes tell each other which young streams broke off and which doubted
 * parts and prompts were answered, so that each of them comes to the same
 * conclusion.
 */
import type {Logger} from '../diagnostics/log';
import {trimOldest} from '../runtime/trim_oldest';
import type {Clock} from '../runtime/types';
import {createAnsweredParts} from './answered_parts';
import {type CrashReport, createCrashEvidence} from './crash_evidence';
import {createCrashReports} from './crash_reports';
import type {GatewayMetrics} from './gateway_metrics';
import type {QuarantineEntry} from './part_quarantine';
import type {
  CrashMessage,
  QuarantineMessage,
  SoundMessage,
} from './peer_messages';
import {listSharedParts} from './placement';
import {isPromptId, listSuspectIds, tryCreatePromptId} from './prompt_identity';
import {createQuarantineSync, type QuarantineSync} from './quarantine_sync';
import type {BackendEntry, FleetStore, ModelRequest} from './types';

/** Why a prompt is kept away from engines. */
export interface PromptBlock {
  /** Id of the part or of the whole prompt. */
  readonly partId: string;
  /** Time until the next trial, in milliseconds; 0 when the request may ask for one. */
  readonly retryAfterMs: number;
}

/** What is known of a whole prompt. */
export interface PromptHistory {
  /** Undefined for a prompt without parts. */
  readonly promptId: string | undefined;
  readonly crashCount: number;
}

/** Decides which prompts are kept away from engines. */
export interface CrashGuard extends Pick<
  QuarantineSync,
  'start' | 'stop' | 'claimTrial' | 'countActive' | 'rewrite'
> {
  /** Returns why a prompt is kept away, or undefined; a part for which the request was granted a trial does not count. */
  tryFindBlock(
    model: ModelRequest,
    trialPartId?: string,
  ): PromptBlock | undefined;
  /** True when another crash under this prompt would be no surprise. */
  isDoubted(model: ModelRequest): boolean;
  /** Returns the id of the prompt, and how many engines are known to have crashed under it since it was last answered. */
  getPromptHistory(model: ModelRequest): PromptHistory;
  /** Counts a stream that is sent to an engine. */
  recordSent(): void;
  /** Records a stream that broke off with its connection; `ageMs` is the time since its answer began, in milliseconds, or undefined before that. */
  recordBroken(
    server: BackendEntry,
    requestId: string,
    model: ModelRequest,
    ageMs: number | undefined,
  ): void;
  /** Records a complete answer. One that is not framed may have been cut off by a crash that shows only later. */
  recordCompleted(
    server: BackendEntry,
    model: ModelRequest,
    isFramed: boolean,
  ): void;
  handle(message: CrashMessage | SoundMessage | QuarantineMessage): void;
  /** Merges the entries of another node; returns those of this node that are newer. */
  mergeEntries(entries: readonly QuarantineEntry[]): QuarantineEntry[];
  /** Lists the entries that fit into a message, latest change first. */
  listEntries(): QuarantineEntry[];
}

/** Options of the guard. */
export interface CrashGuardOptions {
  readonly nodeName: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<GatewayMetrics, 'recordCrash'>;
  readonly store: Pick<FleetStore, 'loadQuarantine' | 'appendQuarantine'>;
  readonly getRandom: () => number;
  /** True when nothing can be in the store yet. */
  readonly isFirstStart: boolean;
  /** True while this node reads the store for the others or hears of no other node that does. */
  readonly isReader: () => boolean;
  /** Resolves to true when the process of a server that was there at a time, on the monotonic clock, in milliseconds, shows that it lives. */
  readonly checkProcess: (
    server: BackendEntry,
    sinceMs: number,
  ) => Promise<boolean>;
  readonly notify: (
    message: CrashMessage | SoundMessage | QuarantineMessage,
  ) => void;
}

/** Age from which a stream cannot be the cause of a crash, in milliseconds: engines crash soon after they begin an answer. */
const YOUNG_MS = 250;
/** Time after the end of an answer in which a crash of its server shows that the answer may have been cut off, in milliseconds. */
const CRASH_NOTICE_MS = 300;
/** Crashes under a part from which a request is not sent to another engine. */
const DOUBT_CRASHES = 2;
/** The same for a whole prompt, without the crash that has just happened, which is not counted yet. */
const PROMPT_DOUBT_CRASHES = 1;
/** Retry-after time of a prompt with several quarantined parts, of which none can be tried, in milliseconds. */
const NO_TRIAL_RETRY_MS = 10_000;
/** How long after an answer to a part a new quarantine of it is outdated, in milliseconds: many times the delay of a message. */
const SOUND_VALIDITY_MS = 1_000;
const MAX_SOUND_PARTS = 1_000;

/** Creates a guard that does not know of any crash. */
export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const {clock, logger, notify} = options;
  /** When this node last saw an answer to a questioned part, on the monotonic clock, in milliseconds. */
  const lastSoundMs = new Map<string, number>();
  const quarantine = createQuarantineSync({
    ...options,
    onChange: handleChange,
  });
  const answeredParts = createAnsweredParts(clock);
  const evidence = createCrashEvidence({isKnown: quarantine.isActive});
  const reports = createCrashReports({
    nodeName: options.nodeName,
    clock,
    checkProcess: options.checkProcess,
    onReport: report => {
      options.metrics.recordCrash();
      logger.log('info', 'backend server broke off young streams', {...report});
      notify({kind: 'crash', ...report});
      handleCrash(report);
    },
    onDropped: (serverId, streams) =>
      logger.log('info', 'young streams broke off, but their server lives', {
        serverId,
        streams,
      }),
  });
  return {
    start: quarantine.start,
    stop: quarantine.stop,
    claimTrial: quarantine.claimTrial,
    countActive: quarantine.countActive,
    rewrite: quarantine.rewrite,
    tryFindBlock,
    isDoubted: model =>
      listSuspectIds(model).some(
        id =>
          quarantine.isActive(id) ||
          evidence.countCrashes(id) >=
            (isPromptId(id) ? PROMPT_DOUBT_CRASHES : DOUBT_CRASHES),
      ),
    getPromptHistory: model => {
      const promptId = tryCreatePromptId(model);
      const crashCount =
        promptId === undefined ? 0 : evidence.countCrashes(promptId);
      return {promptId, crashCount};
    },
    recordSent: reports.recordSent,
    recordBroken: (server, requestId, model, ageMs) => {
      if ((ageMs ?? 0) >= YOUNG_MS) return;
      const promptId = tryCreatePromptId(model);
      const parts = listPartIds(model);
      reports.recordBroken(server, {
        requestId,
        parts,
        ...(promptId === undefined ? {} : {promptId}),
        answeredParts: answeredParts.listRecent(parts),
        hasBegun: ageMs !== undefined,
      });
    },
    recordCompleted,
    handle,
    mergeEntries: quarantine.merge,
    listEntries: quarantine.list,
  };

  function tryFindBlock(
    model: ModelRequest,
    trialPartId?: string,
  ): PromptBlock | undefined {
    if (quarantine.countActive() === 0) return undefined;
    const blocking = listSuspectIds(model).filter(
      id => id !== trialPartId && quarantine.isActive(id),
    );
    if (blocking.length === 0) return undefined;
    const waits = blocking.map(quarantine.getTrialWaitMs);
    // A trial of two parts would not show which of them is sound.
    if (blocking.length > 1) waits.push(NO_TRIAL_RETRY_MS);
    return {partId: blocking[0], retryAfterMs: Math.max(...waits)};
  }

  function handleCrash(report: CrashReport): void {
    const isOwn = report.from === options.nodeName;
    for (const blame of evidence.recordCrash(report, clock.getMonotonicMs())) {
      const version = quarantine.add(blame.partId, isOwn);
      if (version === undefined) continue;
      const subject = isPromptId(blame.partId) ? 'prompt' : 'prompt part';
      logger.log('warn', `${subject} quarantined: it crashes engines`, {
        ...blame,
        version,
      });
    }
  }

  function recordCompleted(
    server: BackendEntry,
    model: ModelRequest,
    isFramed: boolean,
  ): void {
    const questioned = listSuspectIds(model).filter(isQuestioned);
    if (isFramed) {
      answeredParts.record(listPartIds(model));
      recordSound(questioned);
      return;
    }
    if (questioned.length === 0) return;
    const sinceMs = clock.getMonotonicMs() - CRASH_NOTICE_MS;
    const {id, startedAtMs} = server;
    clock.schedule(CRASH_NOTICE_MS, () => {
      if (evidence.hasCrashed(id, startedAtMs, sinceMs)) return;
      answeredParts.record(listPartIds(model));
      recordSound(questioned.filter(isQuestioned));
    });
  }

  function isQuestioned(partId: string): boolean {
    return evidence.isDoubted(partId) || quarantine.isActive(partId);
  }

  /** Clears parts of an answered prompt, and tells the other nodes. */
  function recordSound(partIds: readonly string[]): void {
    if (partIds.length === 0) return;
    notify({kind: 'sound', partIds});
    for (const partId of partIds) {
      lastSoundMs.delete(partId);
      lastSoundMs.set(partId, clock.getMonotonicMs());
      evidence.recordSound(partId);
      quarantine.release(partId);
    }
    trimOldest(lastSoundMs, MAX_SOUND_PARTS);
  }

  function handleChange({partId, isActive}: QuarantineEntry): void {
    if (!isActive) {
      evidence.recordSound(partId);
      return;
    }
    const soundMs = lastSoundMs.get(partId) ?? Number.NEGATIVE_INFINITY;
    // The other node did not know of the answer when it decided.
    const isOutdated = clock.getMonotonicMs() - soundMs < SOUND_VALIDITY_MS;
    if (isOutdated) quarantine.release(partId);
  }

  function handle(
    message: CrashMessage | SoundMessage | QuarantineMessage,
  ): void {
    switch (message.kind) {
      case 'crash':
        handleCrash(message);
        return;
      case 'sound':
        for (const partId of message.partIds) evidence.recordSound(partId);
        return;
      case 'quarantine':
        quarantine.merge(message.entries);
        return;
    }
  }
}

function listPartIds(model: ModelRequest): string[] {
  return listSharedParts(model).map(part => part.id);
}
