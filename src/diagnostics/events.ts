/** A bounded ring buffer of the events of a process, timestamped by a hybrid logical clock. */
import type {Clock} from '../runtime';

/** A hybrid logical clock timestamp, which orders events of several processes: by wall time, then by counter. */
export interface HybridTime {
  /** Milliseconds since the Unix epoch; never less than that of an earlier or observed timestamp. */
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
  /** Shard of backend servers to whose lease the event refers. */
  readonly shard?: string;
  /** Human-readable reason. */
  readonly cause: string;
}

/** The fields of an event that the emitter supplies. */
export type EventInput = Omit<TimelineEvent, 'at' | 'node'>;

/** Ring buffer of the events of a process. */
export interface EventRing {
  emit(event: EventInput): void;
  /** Advances the clock past a timestamp received from another process. */
  observe(time: HybridTime): void;
  getTime(): HybridTime;
  /** Returns the events in the buffer, oldest first. */
  list(): readonly TimelineEvent[];
  /** Returns how many events have been overwritten by newer ones. */
  getDroppedCount(): number;
  /** Calls `listener` for each event from now on; returns a function that unsubscribes it. */
  subscribe(listener: (event: TimelineEvent) => void): () => void;
}

/** Options of a ring buffer. */
export interface EventRingOptions {
  readonly clock: Clock;
  readonly node: string;
  /** Maximum number of events in the buffer. */
  readonly capacity?: number;
}

const DEFAULT_CAPACITY = 8_192;

/** Creates an empty ring buffer. */
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

  /** Sets the time to the wall time if that is later than `floor`, otherwise to `floor` with its counter incremented. */
  function advanceClock(floor: HybridTime): void {
    const wallMs = Math.floor(clock.getWallMs());
    time =
      wallMs > floor.wallMs
        ? {wallMs, counter: 0}
        : {wallMs: floor.wallMs, counter: floor.counter + 1};
  }
}

/** Compares two timestamps; negative when `left` is earlier. */
export function compareTimes(left: HybridTime, right: HybridTime): number {
  return left.wallMs - right.wallMs || left.counter - right.counter;
}
