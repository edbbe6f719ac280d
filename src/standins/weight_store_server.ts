/** The platform's rate-limited store of model weights, in memory and over HTTP. */
import {H3} from 'h3';
import {Ok} from 'ts-results';
import type {WeightStore, WeightTransfer} from '../platform';
import type {Clock} from '../runtime';

/** Options of the store. */
export interface WeightStoreModelOptions {
  readonly clock: Clock;
  /** How long the store takes to copy one set of weights, in milliseconds. Copies go one at a time. */
  readonly copyMs?: number;
}

const DEFAULT_COPY_MS = 5_000;

/** Creates a store without transfers. */
export function createWeightStoreModel(
  options: WeightStoreModelOptions,
): WeightStore {
  const {clock} = options;
  const copyMs = options.copyMs ?? DEFAULT_COPY_MS;
  const doneAtMs = new Map<string, number>();
  let freeAtMs = 0;
  return {
    prepare: (engine, weights) => {
      const id = `${engine}\n${weights}`;
      if (!doneAtMs.has(id)) {
        freeAtMs = Math.max(freeAtMs, clock.getMonotonicMs()) + copyMs;
        doneAtMs.set(id, freeAtMs);
      }
      return Promise.resolve(Ok(getTransfer(id)));
    },
    listTransfers: engine =>
      Promise.resolve(
        Ok(
          [...doneAtMs.keys()]
            .map(getTransfer)
            .filter(item => engine === undefined || item.engine === engine),
        ),
      ),
  };

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
    return (await store.listTransfers(engine)).unwrap();
  });
  app.post('/transfers', async event => {
    const {engine, weights} = (await event.req.json()) as {
      engine: string;
      weights: string;
    };
    return (await store.prepare(engine, weights)).unwrap();
  });
  return app;
}
