/** The short trace of the demo: requests of two client accounts, generated from a seed. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** One request of the trace. */
export interface DemoRequest {
  /** Time at which it is sent, in milliseconds from the start of the trace. */
  readonly atMs: number;
  readonly clientAccount: string;
  readonly kind: 'model' | 'lookup' | 'booking';
  /** Name of the model or of the plain service. */
  readonly target: string;
  /**
   * Reference of the booking, or the one looked up, also the idempotency key of a booking; for a
   * model, the word in the prompt.
   */
  readonly reference: string;
  readonly outputTokens: number;
  readonly deadlineMs: number;
}

/** The models and services that a client account calls. */
interface TrafficMix {
  readonly clientAccount: string;
  readonly models: readonly string[];
  readonly lookup: string;
  readonly booking: string;
}

const TRAFFIC_MIXES: readonly TrafficMix[] = [
  {
    clientAccount: 'studio',
    models: ['summary', 'label-check'],
    lookup: 'order-status',
    booking: 'order-desk',
  },
  {
    clientAccount: 'roofers',
    models: ['quote', 'price'],
    lookup: 'price-list',
    booking: 'yard-orders',
  },
];
/** Shares of model requests and of look-ups in the trace; the rest are bookings. */
const MODEL_SHARE = 0.6;
const LOOKUP_SHARE = 0.2;
const DEADLINE_MS = 8_000;

/** Options of the trace. */
export interface ShortTraceOptions {
  readonly seed: number;
  readonly requestCount: number;
  /** Time over which the requests are evenly spread, in milliseconds. */
  readonly durationMs: number;
}

/** Returns the requests, ordered by the time at which they are sent. */
export function createShortTrace(options: ShortTraceOptions): DemoRequest[] {
  const {seed, requestCount, durationMs} = options;
  const generator = xoroshiro128plus(seed);
  const getRandom = (): number => uniformFloat64(generator);
  return Array.from({length: requestCount}, (_, index) => {
    const mix = TRAFFIC_MIXES[Math.floor(getRandom() * TRAFFIC_MIXES.length)];
    const draw = getRandom();
    const model = mix.models[Math.floor(getRandom() * mix.models.length)];
    const kind =
      draw < MODEL_SHARE
        ? 'model'
        : draw < MODEL_SHARE + LOOKUP_SHARE
          ? 'lookup'
          : 'booking';
    return {
      atMs: (index / requestCount) * durationMs,
      clientAccount: mix.clientAccount,
      kind,
      target: kind === 'model' ? model : mix[kind],
      reference: `order-${index}`,
      outputTokens: 10 + Math.floor(getRandom() * 40),
      deadlineMs: DEADLINE_MS,
    };
  });
}
