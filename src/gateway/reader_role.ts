/** Decides whether this node is a reader, which polls the store and tells the other nodes its state. */
import type {Logger} from '../diagnostics/log';
import type {Clock, Timer} from '../runtime/types';
import type {Peers} from './peers';

/** The role of a node. */
export interface ReaderRole {
  isReader(): boolean;
  /** Makes this node a reader at its start. */
  start(): void;
  /** Records a state message of another reader, whose state has this age, in milliseconds. */
  recordReader(name: string, ageMs: number): void;
  /** Starts or stops being a reader; `currentAsOfMs` is when this node's own state was last current. */
  update(currentAsOfMs: number): void;
  /** Returns whether the state can be told to the others now; if not, `onAnnounce` is called when it can. */
  canAnnounce(): boolean;
  stop(): void;
}

/** Options of the role. */
export interface ReaderRoleOptions {
  readonly nodeName: string;
  readonly peers: Pick<Peers, 'count' | 'countLowerNames'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns the version of the configuration; 0 when there is none. */
  readonly getConfigVersion: () => number;
  /** True while this node's calls to the store fail. */
  readonly isStoreFailing: () => boolean;
  /** Called when this node may tell its state for the first time. */
  readonly onAnnounce: () => void;
}

/** Age of the state above which a node takes over as reader, in milliseconds: two lost polls. */
const TAKEOVER_AGE_MS = 1_150;
/** Range over which the nodes' takeovers are spread by name, in milliseconds. */
const TAKEOVER_SPREAD_MS = 350;
/** How long after its last message another reader counts as active, in milliseconds. */
const READER_EXPIRY_MS = 1_100;

/** Creates the role of a node that is not a reader. */
export function createReaderRole(options: ReaderRoleOptions): ReaderRole {
  const {peers, clock} = options;
  /** When a reader's state was last current, according to its messages. */
  let readerCurrentAsOfMs = Number.NEGATIVE_INFINITY;
  let otherReader: {name: string; lastMessageAtMs: number} | undefined;
  let isReader = false;
  /** False until this node first tells its state: when all nodes start at once, all of them are readers. */
  let canAnnounce = false;
  let announceTimer: Timer | undefined;
  return {
    isReader: () => isReader,
    start: () => {
      isReader = true;
    },
    recordReader,
    update,
    canAnnounce: () => {
      if (!canAnnounce) scheduleAnnouncement();
      return canAnnounce;
    },
    stop: () => announceTimer?.cancel(),
  };

  function recordReader(name: string, ageMs: number): void {
    const nowMs = clock.getMonotonicMs();
    const isPreferred =
      otherReader === undefined ||
      name <= otherReader.name ||
      !isOtherReaderActive();
    if (isPreferred) otherReader = {name, lastMessageAtMs: nowMs};
    readerCurrentAsOfMs = Math.max(readerCurrentAsOfMs, nowMs - ageMs);
  }

  /** Of several readers, the one with the lowest name continues; one whose store calls fail stops, and so does one that has not told its state yet. */
  function update(currentAsOfMs: number): void {
    if (isReader) {
      const isOtherPreferred =
        (otherReader?.name ?? '') < options.nodeName ||
        !canAnnounce ||
        options.isStoreFailing();
      const canYield = isOtherPreferred && options.getConfigVersion() > 0;
      if (canYield && isOtherReaderActive()) {
        setReader(false, otherReader?.name ?? '');
      }
      return;
    }
    // While another node is a reader, this node loads missing records without becoming a reader.
    const ageMs =
      clock.getMonotonicMs() - Math.max(currentAsOfMs, readerCurrentAsOfMs);
    // Computing the delay iterates over all nodes, so it is skipped while the state is recent.
    if (ageMs <= TAKEOVER_AGE_MS) return;
    if (ageMs > TAKEOVER_AGE_MS + getTakeoverDelayMs()) {
      canAnnounce = true;
      setReader(true, `state is ${Math.round(ageMs)} ms old`);
    }
  }

  /** Plans the first announcement, after a delay by name; another reader makes it unnecessary. */
  function scheduleAnnouncement(): void {
    if (announceTimer !== undefined || peers.count() === 0) return;
    announceTimer = clock.schedule(getTakeoverDelayMs(), () => {
      announceTimer = undefined;
      if (!isReader || isOtherReaderActive()) return;
      canAnnounce = true;
      options.onAnnounce();
    });
  }

  function isOtherReaderActive(): boolean {
    const lastMs = otherReader?.lastMessageAtMs ?? Number.NEGATIVE_INFINITY;
    return clock.getMonotonicMs() - lastMs < READER_EXPIRY_MS;
  }

  function setReader(next: boolean, cause: string): void {
    isReader = next;
    options.logger.log(
      'info',
      next ? 'became the store reader' : 'stopped being the store reader',
      {cause, configVersion: options.getConfigVersion()},
    );
  }

  function getTakeoverDelayMs(): number {
    return (TAKEOVER_SPREAD_MS * peers.countLowerNames()) / (peers.count() + 1);
  }
}
