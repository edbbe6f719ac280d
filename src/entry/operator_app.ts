/** The operators' HTTP: templates, events and the state of the fleet. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {H3, type H3Event} from 'h3';
import {z} from 'zod';
import type {EventRing} from '../diagnostics';
import {
  type ConfigEntry,
  type ConfigState,
  type StreamFollower,
  type StreamWriter,
  templateSchema,
} from '../state';

/** An operator who may use this listener. */
export interface Operator {
  readonly name: string;
  /** SHA-256 of the operator's token, in hexadecimal. */
  readonly tokenSha256: string;
}

/** Options of the operators' application. */
export interface OperatorAppOptions {
  readonly node: string;
  readonly operators: readonly Operator[];
  readonly config: StreamFollower<ConfigState, ConfigEntry>;
  readonly configWriter: StreamWriter<ConfigEntry>;
  readonly events: EventRing;
  /** Returns what `fleet` shows. */
  readonly getFleet: () => unknown;
}

const ACCEPT_TIMEOUT_MS = 10_000;

const changeSchema = z.strictObject({
  template: z.unknown(),
  /** Absent to publish a new template. */
  baseVersion: z.number().int().nonnegative().optional(),
});

/** Creates the application. */
export function createOperatorApp(options: OperatorAppOptions): H3 {
  const {config, configWriter, events} = options;
  const app = new H3();
  app.use('/operators/**', event => {
    if (tryGetOperator(event) !== undefined) return undefined;
    return createAnswer(401, {
      error: "the operator's token is missing or unknown",
    });
  });
  app.get('/operators/templates', () => listTemplates());
  app.post('/operators/templates', handleChange);
  app.get('/operators/templates/:account', event => {
    const account = event.context.params?.['account'] ?? '';
    const known = config.getState().templates.get(account);
    if (known !== undefined) return known.toJSON();
    return createAnswer(404, {error: `no client account ${account}`});
  });
  app.delete('/operators/templates/:account', handleRetirement);
  app.get('/operators/events', () => ({
    node: options.node,
    dropped: events.getDroppedCount(),
    events: events.list(),
  }));
  app.get('/operators/in_force', () => ({
    node: options.node,
    nextOffset: config.getNextOffset(),
    isCaughtUp: config.isCaughtUp(),
  }));
  app.get('/operators/fleet', () => options.getFleet());
  return app;

  function listTemplates(): unknown {
    return [...config.getState().templates.values()].map(item => ({
      client_account: item.template.client_account,
      description: item.template.description,
      ...item.current,
    }));
  }

  async function handleChange(event: H3Event): Promise<Response> {
    const operator = tryGetOperator(event)?.name ?? '';
    const change = changeSchema.safeParse(await readJson(event));
    if (!change.success) return createAnswer(400, {error: 'malformed change'});
    const template = templateSchema.safeParse(change.data.template);
    if (!template.success) {
      return createAnswer(400, {error: z.prettifyError(template.error)});
    }
    const {baseVersion} = change.data;
    const entry: ConfigEntry =
      baseVersion === undefined
        ? {kind: 'template-publish', operator, template: template.data}
        : {
            kind: 'template-amend',
            operator,
            baseVersion,
            template: template.data,
          };
    return writeEntry(entry);
  }

  async function handleRetirement(event: H3Event): Promise<Response> {
    const baseVersion = Number(event.url.searchParams.get('base') ?? NaN);
    if (!Number.isInteger(baseVersion)) {
      return createAnswer(400, {error: 'base=VERSION is missing'});
    }
    return writeEntry({
      kind: 'template-retire',
      operator: tryGetOperator(event)?.name ?? '',
      baseVersion,
      clientAccount: event.context.params?.['account'] ?? '',
    });
  }

  async function writeEntry(entry: ConfigEntry): Promise<Response> {
    if (!config.isCaughtUp()) {
      return createAnswer(503, {
        error: 'this node does not know what is in force yet; try another',
        mayHaveTakenEffect: false,
      });
    }
    const answer = await configWriter.write(entry, ACCEPT_TIMEOUT_MS);
    if (answer.err) {
      return createAnswer(503, {
        error: `not accepted yet: ${answer.val.message}`,
        mayHaveTakenEffect: answer.val.mayHaveTakenEffect,
      });
    }
    if (answer.val.kind === 'rejected') {
      return createAnswer(409, {error: answer.val.reason});
    }
    return createAnswer(200, {version: answer.val.position.offset});
  }

  function tryGetOperator(event: H3Event): Operator | undefined {
    const header = event.req.headers.get('authorization') ?? '';
    const token = /^Bearer +(\S+)$/i.exec(header)?.[1];
    if (token === undefined) return undefined;
    const hash = createHash('sha256').update(token).digest();
    return options.operators.find(operator =>
      timingSafeEqual(Buffer.from(operator.tokenSha256, 'hex'), hash),
    );
  }
}

async function readJson(event: H3Event): Promise<unknown> {
  try {
    return await event.req.json();
  } catch {
    return undefined;
  }
}

function createAnswer(status: number, body: unknown): Response {
  return new Response(JSON.stringify(body), {
    status,
    headers: {'content-type': 'application/json'},
  });
}
