/** Serves an engine model over HTTP: answers as server-sent events, reports and commands as JSON. */
import {H3} from 'h3';
import type {
  BackendFailure,
  EngineCommand,
  EngineRequest,
  EngineSink,
} from '../backends';
import type {EngineModel} from './engine_model';

/** Creates the application of one engine. */
export function createEngineApp(model: EngineModel): H3 {
  const app = new H3();
  app.post('/generate', async event => {
    const request = (await event.req.json()) as EngineRequest;
    return createStream(sink => model.start(request, sink));
  });
  app.get('/streams/:id', event => {
    const id = decodeURIComponent(event.context.params?.['id'] ?? '');
    const from = Number(event.url.searchParams.get('from') ?? 0);
    return createStream(sink => model.resume(id, from, sink));
  });
  app.post('/cancel/:id', event => {
    model.cancel(decodeURIComponent(event.context.params?.['id'] ?? ''));
    return {};
  });
  app.get('/report', () => model.getReport());
  app.get('/cache_events', event =>
    model.listCacheEvents(Number(event.url.searchParams.get('after') ?? 0)),
  );
  app.post('/command', async event => {
    const command = (await event.req.json()) as EngineCommand;
    const answer = model.sendCommand(command);
    return answer.ok ? {} : createRefusal(answer.val);
  });
  return app;
}

function createRefusal(failure: BackendFailure): Response {
  return new Response(JSON.stringify(failure), {
    status: 409,
    headers: {'content-type': 'application/json'},
  });
}

/** Streams an answer. When the connection ends, the engine goes on until the answer is cancelled or complete. */
function createStream(start: (sink: EngineSink) => unknown): Response {
  const encoder = new TextEncoder();
  let isOpen = true;
  const body = new ReadableStream<Uint8Array>({
    start: controller => {
      start({
        onTokens: batch => send('tokens', batch),
        onEnd: end => sendLast('end', end),
        onFailure: failure => sendLast('failure', failure),
      });
      function send(name: string, data: unknown): void {
        if (!isOpen) return;
        const text = `event: ${name}\ndata: ${JSON.stringify(data)}\n\n`;
        controller.enqueue(encoder.encode(text));
      }
      function sendLast(name: string, data: unknown): void {
        send(name, data);
        if (isOpen) controller.close();
        isOpen = false;
      }
    },
    cancel: () => {
      isOpen = false;
    },
  });
  return new Response(body, {headers: {'content-type': 'text/event-stream'}});
}
