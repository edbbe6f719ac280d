/**
 * The parts of prompts, and the whole prompts, that are kept away from engines. Nodes merge their tables
 * by version; a trial request from time to time shows whether a part still
 * crashes engines.
 */
import type {Clock} from '../runtime/types';
import {isPromptId} from './prompt_identity';

/** A part as nodes tell it to each other. */
export interface QuarantineEntry {
  /** Id of the part, or of a whole prompt. */
  readonly partId: string;
  /** Of two entries, the one with the higher version holds. */
  readonly version: number;
  /** False once the part is known to be sound. */
  readonly isActive: boolean;
  /** Number of trial requests so far. */
  readonly trialCount: number;
  /** Time until the next trial may be granted, in milliseconds. */
  readonly nextTrialInMs: number;
  /** True when the store has this version. */
  readonly isStored: boolean;
}

/** A part as the store keeps it. */
export type QuarantineRecord = Pick<
  QuarantineEntry,
  'partId' | 'version' | 'trialCount'
>;

/** The table of a node. */
export interface PartQuarantine {
  isActive(partId: string): boolean;
  tryGet(partId: string): QuarantineEntry | undefined;
  /** Adds a part; returns its entry, or undefined when it is already active. The entry yields to that of the node whose own report decided. */
  add(partId: string, isOwnReport: boolean): QuarantineEntry | undefined;
  /** Ends the quarantine of a part; returns its entry, or undefined when it is not active. */
  release(partId: string): QuarantineEntry | undefined;
  /** Returns the entry that the part has after one more trial, without applying it. */
  tryPlanTrial(partId: string): QuarantineEntry | undefined;
  /** Applies an entry if it is newer than the known one; returns whether it was. An equal one may still show that the version is stored. */
  merge(entry: QuarantineEntry): boolean;
  /** Marks a version as stored. */
  setStored(partId: string, version: number): void;
  /** Marks all versions as not stored; returns the ids of their parts. */
  resetStored(): string[];
  /** Lists the entries, latest change first; parts come before whole prompts, as they concern more requests. */
  list(): QuarantineEntry[];
  /** Lists the prompts that nobody has sent again for long. */
  listAbandoned(): string[];
  countActive(): number;
}

interface Row {
  entry: QuarantineEntry;
  /** On the monotonic clock, in milliseconds. */
  nextTrialAtMs: number;
  changedAtMs: number;
}

/** Time until the first trial, in milliseconds, and the factor for each further one. */
const FIRST_TRIAL_MS = 10_000;
const TRIAL_INTERVAL_FACTOR = 4;
const MAX_TRIAL_INTERVAL_MS = 3_600_000;
/** How long the end of a quarantine is told to nodes that may have missed it, in milliseconds. */
const LIFTED_EXPIRY_MS = 60_000;
/** How long a prompt is kept away after its next trial was due, in milliseconds: its caller has given up. */
const PROMPT_EXPIRY_MS = 300_000;

/** Returns the time from one trial to the next, in milliseconds. */
export function computeTrialIntervalMs(trialCount: number): number {
  return Math.min(
    MAX_TRIAL_INTERVAL_MS,
    FIRST_TRIAL_MS * TRIAL_INTERVAL_FACTOR ** trialCount,
  );
}

/** Creates an empty table. */
export function createPartQuarantine(
  clock: Pick<Clock, 'getMonotonicMs' | 'getWallMs'>,
): PartQuarantine {
  const rows = new Map<string, Row>();
  return {
    isActive: partId => rows.get(partId)?.entry.isActive === true,
    tryGet: partId => {
      const row = rows.get(partId);
      return row === undefined ? undefined : renderEntry(row);
    },
    add: (partId, isOwnReport) => {
      if (rows.get(partId)?.entry.isActive === true) return undefined;
      const entry = createEntry(partId, {isActive: true, trialCount: 0});
      const version = isOwnReport
        ? entry.version
        : (rows.get(partId)?.entry.version ?? 0) + 1;
      return apply({...entry, version});
    },
    release: partId => {
      if (rows.get(partId)?.entry.isActive !== true) return undefined;
      return apply(createEntry(partId, {isActive: false, trialCount: 0}));
    },
    tryPlanTrial: partId => {
      const entry = rows.get(partId)?.entry;
      if (entry === undefined || !entry.isActive) return undefined;
      const trialCount = entry.trialCount + 1;
      return createEntry(partId, {isActive: true, trialCount});
    },
    merge,
    setStored: (partId, version) => {
      const row = rows.get(partId);
      if (row?.entry.version !== version) return;
      row.entry = {...row.entry, isStored: true};
    },
    resetStored: () => {
      for (const row of rows.values()) {
        row.entry = {...row.entry, isStored: false};
      }
      return [...rows.keys()];
    },
    list,
    listAbandoned: () => {
      const boundMs = clock.getMonotonicMs() - PROMPT_EXPIRY_MS;
      return [...rows.values()]
        .filter(
          ({entry, nextTrialAtMs}) =>
            entry.isActive &&
            isPromptId(entry.partId) &&
            nextTrialAtMs < boundMs,
        )
        .map(({entry}) => entry.partId);
    },
    countActive: () =>
      [...rows.values()].filter(({entry}) => entry.isActive).length,
  };

  function createEntry(
    partId: string,
    state: Pick<QuarantineEntry, 'isActive' | 'trialCount'>,
  ): QuarantineEntry {
    // A node that has forgotten a part still gives it a higher version than before.
    const version = Math.max(
      (rows.get(partId)?.entry.version ?? 0) + 1,
      clock.getWallMs(),
    );
    return {
      partId,
      version,
      ...state,
      nextTrialInMs: computeTrialIntervalMs(state.trialCount),
      isStored: false,
    };
  }

  function apply(entry: QuarantineEntry): QuarantineEntry {
    const nowMs = clock.getMonotonicMs();
    rows.set(entry.partId, {
      entry,
      nextTrialAtMs: nowMs + entry.nextTrialInMs,
      changedAtMs: nowMs,
    });
    return entry;
  }

  function merge(entry: QuarantineEntry): boolean {
    const known = rows.get(entry.partId);
    // The end of a quarantine that this node has forgotten is no news.
    if (known === undefined && !entry.isActive) return false;
    const knownVersion = known?.entry.version ?? Number.NEGATIVE_INFINITY;
    if (entry.version < knownVersion) return false;
    if (known !== undefined && entry.version === knownVersion) {
      if (entry.isStored) known.entry = {...known.entry, isStored: true};
      return false;
    }
    apply(entry);
    return true;
  }

  function list(): QuarantineEntry[] {
    const nowMs = clock.getMonotonicMs();
    for (const [partId, {entry, changedAtMs}] of rows) {
      const isOver = !entry.isActive && nowMs - changedAtMs > LIFTED_EXPIRY_MS;
      if (isOver && entry.isStored) rows.delete(partId);
    }
    return [...rows.values()]
      .sort(
        (left, right) =>
          Number(isPromptId(left.entry.partId)) -
            Number(isPromptId(right.entry.partId)) ||
          right.changedAtMs - left.changedAtMs,
      )
      .map(renderEntry);
  }

  function renderEntry({entry, nextTrialAtMs}: Row): QuarantineEntry {
    const nextTrialInMs = Math.max(0, nextTrialAtMs - clock.getMonotonicMs());
    return {...entry, nextTrialInMs};
  }
}
