/** Measures which fraction of the nodes this node is in touch with. */
import {chooseRandom} from '../runtime/choose_random';
import type {Clock, Timer} from '../runtime/types';
import type {ProbeMessage} from './peer_messages';
import type {Peers} from './peers';

/** Probes some of the other nodes while the result is in use. */
export interface PeerReach {
  /** Returns the fraction of the probed nodes that answered, this node included as one of them. */
  getFraction(): number;
  /** Returns what `getFraction` would return, without probing. */
  predictFraction(): number;
  handle(message: ProbeMessage): void;
  stop(): void;
}

/** Options of the measurement. */
export interface PeerReachOptions {
  readonly nodeName: string;
  readonly clock: Clock;
  readonly getRandom: () => number;
  readonly peers: Pick<Peers, 'list' | 'count' | 'tryFind' | 'send'>;
}

interface Round {
  readonly startedAtMs: number;
  readonly probed: ReadonlySet<string>;
  readonly answered: Set<string>;
}

/** Maximum number of nodes that are probed in one round. */
const MAX_PROBED_NODES = 12;
/** Interval between rounds, in milliseconds. */
const ROUND_INTERVAL_MS = 500;
/** Age from which a round no longer counts, in milliseconds: two intervals and a late timer. */
const MAX_ROUND_AGE_MS = 1_250;
/** Time after the last use at which probing stops, in milliseconds. */
const IDLE_TIMEOUT_MS = 2_000;

/** Creates the measurement; probing begins with the first use. */
export function createPeerReach(options: PeerReachOptions): PeerReach {
  const {nodeName, clock, getRandom, peers} = options;
  let rounds: readonly Round[] = [];
  let timer: Timer | undefined;
  let usedAtMs = 0;
  let isStopped = false;
  return {
    getFraction,
    predictFraction,
    handle,
    stop: () => {
      isStopped = true;
      timer?.cancel();
    },
  };

  function getFraction(): number {
    if (peers.count() === 0) return 1;
    usedAtMs = clock.getMonotonicMs();
    if (timer === undefined && !isStopped) startRound();
    return computeFraction(rounds);
  }

  function predictFraction(): number {
    if (peers.count() === 0) return 1;
    const isProbing = timer !== undefined || isStopped;
    if (isProbing) return computeFraction(rounds);
    // Probing would begin with a round that nobody has answered yet.
    const probedCount = Math.min(MAX_PROBED_NODES, peers.list().length);
    return Math.max(1 / (probedCount + 1), computeFraction(rounds.slice(-1)));
  }

  function computeFraction(known: readonly Round[]): number {
    const oldestMs = clock.getMonotonicMs() - MAX_ROUND_AGE_MS;
    // The newest round may still wait for answers, so the one before it counts as well.
    const fractions = known
      .filter(round => round.startedAtMs >= oldestMs)
      .map(({answered, probed}) => (answered.size + 1) / (probed.size + 1));
    return Math.max(1 / (peers.count() + 1), ...fractions);
  }

  function startRound(): void {
    const nowMs = clock.getMonotonicMs();
    if (nowMs - usedAtMs > IDLE_TIMEOUT_MS) {
      timer = undefined;
      return;
    }
    timer = clock.schedule(ROUND_INTERVAL_MS, startRound);
    const probed = chooseRandom(peers.list(), MAX_PROBED_NODES, getRandom);
    rounds = [
      ...rounds.slice(-1),
      {
        startedAtMs: nowMs,
        probed: new Set(probed.map(node => node.name)),
        answered: new Set(),
      },
    ];
    for (const node of probed) {
      peers.send(node, {kind: 'probe', from: nodeName, isReply: false});
    }
  }

  function handle({from, isReply}: ProbeMessage): void {
    if (isReply) {
      for (const {probed, answered} of rounds) {
        if (probed.has(from)) answered.add(from);
      }
      return;
    }
    const node = peers.tryFind(from);
    if (node === undefined) return;
    peers.send(node, {kind: 'probe', from: nodeName, isReply: true});
  }
}
