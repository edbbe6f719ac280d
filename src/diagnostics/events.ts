/** The bounded ring of a process's events, stamped with a hybrid logical clock. */
import type {Clock} from '../runtime';

/** A stamp that orders events of several processes: wall time, then a counter. */
export interface HybridTime {
  /** Milliseconds since the Unix epoch, never behind a stamp seen before. */
  readonly wallMs: number;
  readonly counter: number;
}

/** One event of the time line. */
export interface TimelineEvent {
  readonly at: HybridTime;
  readonly node: string;
  readonly kind: string;
  readonly requestId?: string;
  readonly clientAccount?: string;
  readonly engine?: string;
  /** Shard of backend servers whose lease the event is about. */
  readonly shard?: string;
  /** Why, for a person. */
  readonly cause: string;
}

/** What an emitter gives of an event. */
export type EventInput = Omit<TimelineEvent, 'at' | 'node'>;

/** A process's events. */
export interface EventRing {
  emit(event: EventInput): void;
  /** Moves the clock past a stamp from another process. */
  observe(time: HybridTime): void;
  getTime(): HybridTime;
  /** Lists the events kept, oldest first. */
  list(): readonly TimelineEvent[];
  /** Returns how many events have been dropped for newer ones. */
  getDroppedCount(): number;
  /** Calls `listener` for each event from now on; returns a function that stops it. */
  subscribe(listener: (event: TimelineEvent) => void): () => void;
}

/** Options of a ring. */
export interface EventRingOptions {
  readonly clock: Clock;
  readonly node: string;
  /** Most events kept. */
  readonly capacity?: number;
}

const DEFAULT_CAPACITY = 8_192;

/** Creates an empty ring. */
export function createEventRing(options: EventRingOptions): EventRing {
  const {clock, node} = options;
  const capacity = options.capacity ?? DEFAULT_CAPACITY;
  const events: TimelineEvent[] = [];
  const listeners = new Set<(event: TimelineEvent) => void>();
  let nextSlot = 0;
  let dropped = 0;
  let time: HybridTime = {wallMs: 0, counter: 0};
  return {
    emit,
    observe,
    getTime: () => time,
    list: () => [...events.slice(nextSlot), ...events.slice(0, nextSlot)],
    getDroppedCount: () => dropped,
    subscribe: listener => {
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
  };

  function emit(input: EventInput): void {
    advanceClock(time);
    const event = {...input, at: time, node};
    for (const listener of listeners) listener(event);
    if (events.length < capacity) {
      events.push(event);
      return;
    }
    events[nextSlot] = event;
    nextSlot = (nextSlot + 1) % capacity;
    dropped++;
  }

  function observe(other: HybridTime): void {
    advanceClock(compareTimes(other, time) > 0 ? other : time);
  }

  /** Takes the wall time when it is ahead of `floor`, else counts on from it. */
  function advanceClock(floor: HybridTime): void {
    const wallMs = Math.floor(clock.getWallMs());
    time =
      wallMs > floor.wallMs
        ? {wallMs, counter: 0}
        : {wallMs: floor.wallMs, counter: floor.counter + 1};
  }
}

/** Orders two stamps: below 0 when `left` is earlier. */
export function compareTimes(left: HybridTime, right: HybridTime): number {
  return left.wallMs - right.wallMs || left.counter - right.counter;
}
