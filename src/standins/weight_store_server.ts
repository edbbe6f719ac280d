/** Stand-in for the platform's rate-limited store of model weights, in memory and over HTTP. */
import {H3} from 'h3';
import {Err, Ok, type Result} from 'ts-results';
import {
  type PlatformFailure,
  PlatformFailureKind,
  type WeightStore,
  type WeightTransfer,
} from '../control_services';
import type {Clock} from '../runtime';
import {createAnswer, createUnavailable} from './service_unavailable';

/** Options of the store. */
export interface WeightStoreModelOptions {
  readonly clock: Clock;
  /** How long the store takes to copy one set of weights, in milliseconds. Copies run one at a time. */
  readonly copyMs?: number;
}

const DEFAULT_COPY_MS = 5_000;

/** A weight store with fault injection. */
export interface WeightStoreModel extends WeightStore {
  setDown(isDown: boolean): void;
  /** The next `count` requests for a copy take effect, but their answers are lost. */
  loseReplies(count: number): void;
  /** Discards all unfinished copies, as a restart would. */
  removeUnfinished(): void;
  /** Returns how many copies have been requested. */
  getCopyCount(): number;
}

/** Creates a store without transfers. */
export function createWeightStoreModel(
  options: WeightStoreModelOptions,
): WeightStoreModel {
  const {clock} = options;
  const copyMs = options.copyMs ?? DEFAULT_COPY_MS;
  const doneAtMs = new Map<string, number>();
  let queueEndMs = 0;
  let copyCount = 0;
  let isDown = false;
  let lostReplies = 0;
  return {
    prepare: (engine, weights) => Promise.resolve(prepare(engine, weights)),
    listTransfers: engine => Promise.resolve(listTransfers(engine)),
    setDown: value => {
      isDown = value;
    },
    loseReplies: count => {
      lostReplies += count;
    },
    removeUnfinished,
    getCopyCount: () => copyCount,
  };

  function prepare(
    engine: string,
    weights: string,
  ): Result<WeightTransfer, PlatformFailure> {
    if (isDown) return Err(createUnavailable());
    const id = `${engine}\n${weights}`;
    if (!doneAtMs.has(id)) {
      queueEndMs = Math.max(queueEndMs, clock.getMonotonicMs()) + copyMs;
      doneAtMs.set(id, queueEndMs);
      copyCount++;
    }
    if (lostReplies === 0) return Ok(getTransfer(id));
    lostReplies--;
    return Err({
      kind: PlatformFailureKind.Timeout,
      mayHaveTakenEffect: true,
      message: 'no answer in time',
    });
  }

  function listTransfers(
    engine: string | undefined,
  ): Result<readonly WeightTransfer[], PlatformFailure> {
    if (isDown) return Err(createUnavailable());
    const transfers = [...doneAtMs.keys()].map(getTransfer);
    return Ok(
      transfers.filter(item => engine === undefined || item.engine === engine),
    );
  }

  function removeUnfinished(): void {
    const nowMs = clock.getMonotonicMs();
    for (const [id, atMs] of doneAtMs) {
      if (atMs > nowMs) doneAtMs.delete(id);
    }
    queueEndMs = nowMs;
  }

  function getTransfer(id: string): WeightTransfer {
    const [engine, weights] = id.split('\n');
    const leftMs = (doneAtMs.get(id) ?? 0) - clock.getMonotonicMs();
    const fraction = Math.min(1, Math.max(0, 1 - leftMs / copyMs));
    const state =
      leftMs <= 0 ? 'done' : leftMs >= copyMs ? 'queued' : 'copying';
    return {engine, weights, state, fraction};
  }
}

/** Creates the application: `GET` and `POST /transfers`. */
export function createWeightStoreApp(store: WeightStore): H3 {
  const app = new H3();
  app.get('/transfers', async event => {
    const engine = event.url.searchParams.get('engine') ?? undefined;
    return createAnswer(await store.listTransfers(engine));
  });
  app.post('/transfers', async event => {
    const {engine, weights} = (await event.req.json()) as {
      engine: string;
      weights: string;
    };
    return createAnswer(await store.prepare(engine, weights));
  });
  return app;
}
