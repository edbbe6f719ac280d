/** Bounds the bodies of requests that a process holds. */
import type {Clock} from '../runtime/types';
import type {BodyBudget, HeldBody, MemoryLimits} from './types';

/** Time after which a body that is still being received may be refused to make room, in milliseconds: bodies of callers that send without pauses arrive sooner, even 4 MB over a link of 35 Mbit/s. */
const SLOW_AFTER_MS = 1_000;

interface ReceivedBody {
  bytes: number;
  readonly sinceMs: number;
  readonly refuse: () => void;
}

/** Creates an empty budget. */
export function createBodyBudget(options: {
  readonly clock: Pick<Clock, 'getMonotonicMs'>;
  readonly limits: Pick<MemoryLimits, 'bodyBytes'>;
  /** Called for each body that is refused. */
  readonly onRefused?: () => void;
}): BodyBudget {
  const {clock} = options;
  const {bodyBytes} = options.limits;
  /** Bodies that are being received. */
  const receiving = new Set<ReceivedBody>();
  let heldBytes = 0;
  return {add, getHeldBytes: () => heldBytes};

  function add(refuse: () => void): HeldBody {
    const body: ReceivedBody = {
      bytes: 0,
      sinceMs: clock.getMonotonicMs(),
      refuse,
    };
    let holders = 1;
    receiving.add(body);
    return {
      tryGrow: bytes => tryGrow(body, bytes),
      complete: () => receiving.delete(body),
      hold: () => {
        holders++;
        return createRelease();
      },
      release: createRelease(),
    };

    function createRelease(): () => void {
      let isReleased = false;
      return () => {
        if (isReleased) return;
        isReleased = true;
        if (--holders === 0) remove(body);
      };
    }
  }

  function tryGrow(body: ReceivedBody, bytes: number): boolean {
    while (heldBytes + bytes > bodyBytes) {
      const slow = trySelectSlow(receiving, clock.getMonotonicMs());
      const refused = slow ?? body;
      remove(refused);
      options.onRefused?.();
      if (refused === body) return false;
      refused.refuse();
    }
    body.bytes += bytes;
    heldBytes += bytes;
    return true;
  }

  function remove(body: ReceivedBody): void {
    receiving.delete(body);
    heldBytes -= body.bytes;
    body.bytes = 0;
  }
}

/** Selects the body that has taken up the most memory for the longest time, so that callers that send slowly make room for those that do not. */
function trySelectSlow(
  bodies: Iterable<ReceivedBody>,
  nowMs: number,
): ReceivedBody | undefined {
  let selected: ReceivedBody | undefined;
  let maxCost = 0;
  for (const body of bodies) {
    const ageMs = nowMs - body.sinceMs;
    const cost = body.bytes * ageMs;
    if (ageMs < SLOW_AFTER_MS || cost <= maxCost) continue;
    selected = body;
    maxCost = cost;
  }
  return selected;
}
