/**
 * Index by key digest whose look-up reads one place only: a map of strings reads a chain of
 * places, which with tens of thousands of keys are rarely in the processor's cache. Digests form
 * groups; each group has a seed that puts all its digests into different slots (hash and
 * displace). Changes are collected in a small map until the slots are built again.
 */

/** Values by SHA-256 digest, in lower-case hexadecimal. */
export interface DigestIndex<T> {
  tryFind(digest: string): T | undefined;
  set(digest: string, value: T): void;
  remove(digest: string): void;
  count(): number;
  /** Builds the slots again if many digests have changed since the last time. */
  trim(): void;
}

/** A digest in the slots. */
interface Entry<T> {
  readonly digest: string;
  /** The first 128 bits, for which nobody can find a second key. */
  readonly words: readonly number[];
  readonly value: T;
}

/** The part of an index that is built at once. */
interface Slots<T> {
  readonly capacity: number;
  /** Four words for each slot, apart from the digests so that a look-up reads little memory. */
  readonly words: Int32Array;
  readonly digests: string[];
  /** Undefined for free slots and for removed digests. */
  readonly values: Array<T | undefined>;
  /** By group. */
  readonly seeds: Uint16Array;
}

const DIGEST_PATTERN = /^[0-9a-f]{64}$/;
const DIGEST_LENGTH = 64;
const WORDS = 4;
/** Hexadecimal digits of a word. */
const WORD_DIGITS = 8;
/** Fraction of used slots: more free slots take more of the cache, fewer take long to build. */
const LOAD = 0.78;
const MIN_SLOTS = 16;
/** Slots for each group: larger groups take long to build. */
const SLOTS_PER_GROUP = 3;
/** Number of seeds; the digests of a group for which none fits stay in the map of changes. */
const SEEDS = 65_536;
/** Fraction of changed digests above which the slots are built again. */
const MAX_CHANGED_FRACTION = 1 / 64;
const MIN_CHANGES = 32;
/** Digests in the slots at most, as places are computed in 32 bits; the others stay in the map of changes. */
const MAX_ENTRIES = 400_000;

/** Creates an empty index. */
export function createDigestIndex<T>(): DigestIndex<T> {
  let slots = createSlots<T>(0);
  /** Digests that are not in the slots. */
  let changes = new Map<string, T>();
  let removedCount = 0;
  /** Digests in the slots, those that were removed included. */
  let builtCount = 0;
  return {tryFind, set, remove, count, trim};

  function tryFind(digest: string): T | undefined {
    const slot = tryFindSlot(slots, digest);
    const value = slot === undefined ? undefined : slots.values[slot];
    if (value !== undefined || changes.size === 0) return value;
    return changes.get(digest);
  }

  function set(digest: string, value: T): void {
    const slot = tryFindSlot(slots, digest);
    if (slot === undefined || slots.digests[slot] !== digest) {
      changes.set(digest, value);
      return;
    }
    if (slots.values[slot] === undefined) removedCount--;
    slots.values[slot] = value;
  }

  function remove(digest: string): void {
    changes.delete(digest);
    const slot = tryFindSlot(slots, digest);
    if (slot === undefined || slots.digests[slot] !== digest) return;
    if (slots.values[slot] !== undefined) removedCount++;
    slots.values[slot] = undefined;
  }

  function count(): number {
    return builtCount - removedCount + changes.size;
  }

  function trim(): void {
    const maxChanges = Math.max(MIN_CHANGES, count() * MAX_CHANGED_FRACTION);
    if (changes.size + removedCount <= maxChanges) return;
    const entries: Array<Entry<T>> = [];
    const others = new Map<string, T>();
    slots.values.forEach((value, slot) => {
      if (value !== undefined) addEntry(value, slots.digests[slot]);
    });
    changes.forEach(addEntry);
    slots = buildSlots(entries, ({digest, value}) => {
      others.set(digest, value);
    });
    builtCount = slots.digests.filter(digest => digest !== '').length;
    removedCount = 0;
    changes = others;

    function addEntry(value: T, digest: string): void {
      if (entries.length < MAX_ENTRIES && DIGEST_PATTERN.test(digest)) {
        entries.push({digest, words: readWords(digest), value});
      } else others.set(digest, value);
    }
  }
}

function createSlots<T>(count: number): Slots<T> {
  const capacity = Math.max(MIN_SLOTS, Math.ceil(count / LOAD));
  return {
    capacity,
    words: new Int32Array(capacity * WORDS),
    digests: new Array<string>(capacity).fill(''),
    values: new Array<T | undefined>(capacity).fill(undefined),
    seeds: new Uint16Array(Math.ceil(capacity / SLOTS_PER_GROUP)),
  };
}

/** Places the groups, the largest first since free slots get scarce. */
function buildSlots<T>(
  entries: ReadonlyArray<Entry<T>>,
  onLeftOut: (entry: Entry<T>) => void,
): Slots<T> {
  const slots = createSlots<T>(entries.length);
  const groups = Array.from(slots.seeds, (): Array<Entry<T>> => []);
  for (const entry of entries) {
    groups[computeGroup(slots, entry.words[1])].push(entry);
  }
  const order = [...groups.keys()].sort(
    (left, right) => groups[right].length - groups[left].length,
  );
  for (const group of order) {
    const seed = tryFindSeed(slots, groups[group]);
    if (seed === undefined) groups[group].forEach(onLeftOut);
    else addGroup(slots, group, groups[group], seed);
  }
  return slots;
}

function tryFindSeed<T>(
  slots: Slots<T>,
  entries: ReadonlyArray<Entry<T>>,
): number | undefined {
  for (let seed = 0; seed < SEEDS; seed++) {
    if (canPlace(slots, entries, seed)) return seed;
  }
  return undefined;
}

function canPlace<T>(
  slots: Slots<T>,
  entries: ReadonlyArray<Entry<T>>,
  seed: number,
): boolean {
  for (let index = 0; index < entries.length; index++) {
    const slot = computeSlot(slots, entries[index].words, seed);
    if (slots.values[slot] !== undefined) return false;
    for (let other = 0; other < index; other++) {
      if (computeSlot(slots, entries[other].words, seed) === slot) return false;
    }
  }
  return true;
}

function addGroup<T>(
  slots: Slots<T>,
  group: number,
  entries: ReadonlyArray<Entry<T>>,
  seed: number,
): void {
  slots.seeds[group] = seed;
  for (const {digest, words, value} of entries) {
    const slot = computeSlot(slots, words, seed);
    slots.words.set(words, slot * WORDS);
    slots.digests[slot] = digest;
    slots.values[slot] = value;
  }
}

function tryFindSlot<T>(slots: Slots<T>, digest: string): number | undefined {
  if (digest.length !== DIGEST_LENGTH) return undefined;
  const {words, seeds} = slots;
  const first = readWord(digest, 0);
  const second = readWord(digest, 1);
  const seed = seeds[computeGroup(slots, second)];
  const slot = computePlace(
    computeDisplaced(first, second, seed),
    slots.capacity,
  );
  const at = slot * WORDS;
  return words[at] === first &&
    words[at + 1] === second &&
    words[at + 2] === readWord(digest, 2) &&
    words[at + 3] === readWord(digest, 3)
    ? slot
    : undefined;
}

function computeGroup<T>({seeds}: Slots<T>, second: number): number {
  return computePlace(second, seeds.length);
}

function computeSlot<T>(
  {capacity}: Slots<T>,
  [first, second]: readonly number[],
  seed: number,
): number {
  return computePlace(computeDisplaced(first, second, seed), capacity);
}

function computeDisplaced(first: number, second: number, seed: number): number {
  // The lowest bit is set, so that each seed gives another number.
  return (first + Math.imul(seed, second | 1)) | 0;
}

/** Maps a random word to a place below a count of up to 2^19; in integers, as fractions take longer. */
function computePlace(word: number, count: number): number {
  return (
    (Math.imul(word >>> 20, count) +
      (Math.imul((word >>> 8) & 0xfff, count) >>> 12)) >>>
    12
  );
}

function readWords(digest: string): number[] {
  return Array.from({length: WORDS}, (_, index) => readWord(digest, index));
}

/** Reads eight hexadecimal digits; for other characters the result means nothing. */
function readWord(digest: string, index: number): number {
  let word = 0;
  const end = (index + 1) * WORD_DIGITS;
  for (let at = index * WORD_DIGITS; at < end; at++) {
    const code = digest.charCodeAt(at);
    // The codes of letters, from 97 on, are above 63, those of decimal digits below.
    word = (word << 4) | ((code & 15) + 9 * (code >> 6));
  }
  return word;
}
