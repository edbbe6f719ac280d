/** Serves a log model over HTTP. */
import {H3} from 'h3';
import type {LogModel} from './log_model';

const DEFAULT_MAX_RECORDS = 1_000;

/** Creates the application: `POST` and `GET /streams/NAME`. */
export function createLogApp(model: LogModel): H3 {
  const app = new H3();
  app.post('/streams/:stream', async event => {
    const stream = decodeURIComponent(event.context.params?.['stream'] ?? '');
    const answer = model.append(stream, await event.req.text());
    if (answer === 'down') return createStatus(503);
    if (answer === 'throttled') return createStatus(429);
    // A lost reply: the record has been appended, and the request is never answered.
    if (model.takeLostReply()) return new Promise<never>(() => undefined);
    await waitForDelay(model);
    return {offset: answer};
  });
  app.get('/streams/:stream', async event => {
    const stream = decodeURIComponent(event.context.params?.['stream'] ?? '');
    const query = event.url.searchParams;
    const fromOffset = Number(query.get('from') ?? 0);
    const waitMs = Number(query.get('wait_ms') ?? 0);
    await new Promise<void>(resolve =>
      model.waitForRecord(stream, fromOffset, waitMs, resolve),
    );
    await waitForDelay(model);
    const maxRecords = Number(query.get('max') ?? DEFAULT_MAX_RECORDS);
    const answer = model.read(stream, fromOffset, maxRecords);
    if (answer === 'down') return createStatus(503);
    if ('records' in answer) return answer;
    return new Response(JSON.stringify(answer), {status: 410});
  });
  return app;
}

function createStatus(status: number): Response {
  return new Response('', {status});
}

async function waitForDelay(model: LogModel): Promise<void> {
  const delayMs = model.getDelayMs();
  if (delayMs === 0) return;
  await new Promise(resolve => setTimeout(resolve, delayMs));
}
