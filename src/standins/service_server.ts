/** Stand-in for a plain service: it counts how often each booking ran. */
import {H3} from 'h3';

/** Run counts of the bookings of a service. */
export interface ServiceModel {
  /** Returns how often a booking ran, by its reference. */
  getRunCount(reference: string): number;
  /** Returns the highest run count of any booking. */
  getMaxRunCount(): number;
  recordRun(reference: string): number;
}

/** Creates a service without bookings. */
export function createServiceModel(): ServiceModel {
  const runs = new Map<string, number>();
  return {
    getRunCount: reference => runs.get(reference) ?? 0,
    getMaxRunCount: () => Math.max(0, ...runs.values()),
    recordRun: reference => {
      const count = (runs.get(reference) ?? 0) + 1;
      runs.set(reference, count);
      return count;
    },
  };
}

/** Creates the application: bookings by `POST`, status by `GET`. */
export function createServiceApp(model: ServiceModel): H3 {
  const app = new H3();
  app.post('/bookings', async event => {
    const {reference} = (await event.req.json()) as {reference: string};
    return {reference, runs: model.recordRun(reference)};
  });
  app.get('/bookings/:reference', event => {
    const reference = event.context.params?.['reference'] ?? '';
    return {reference, runs: model.getRunCount(reference)};
  });
  return app;
}
