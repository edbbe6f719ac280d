/** Operators' HTTP routes for reading and changing templates. */
import type {H3, H3Event} from 'h3';
import {z} from 'zod';
import {
  type ConfigEntry,
  type ConfigState,
  type StreamFollower,
  type StreamWriter,
  templateSchema,
} from '../state';
import {createJsonResponse, readJson} from './json_response';

/** Options of the routes. */
export interface TemplateRoutesOptions {
  readonly config: StreamFollower<ConfigState, ConfigEntry>;
  readonly writer: StreamWriter<ConfigEntry>;
  readonly getOperatorName: (event: H3Event) => string;
}

/** Maximum wait for a change to be read back from the log, in milliseconds. */
const ACCEPT_TIMEOUT_MS = 10_000;

const changeSchema = z.strictObject({
  template: z.unknown(),
  /** Version that the change amends; absent to publish a new template. */
  baseVersion: z.number().int().nonnegative().optional(),
});

/** Adds the routes. */
export function addTemplateRoutes(
  app: H3,
  options: TemplateRoutesOptions,
): void {
  const {config, writer} = options;
  app.get('/operators/templates', () => listTemplates(config.getState()));
  app.post('/operators/templates', handleChange);
  app.get('/operators/templates/:account', event => {
    const account = event.context.params?.['account'] ?? '';
    const known = config.getState().templates.get(account);
    if (known !== undefined) return known.toJSON();
    return createJsonResponse(404, {error: `no client account ${account}`});
  });
  app.delete('/operators/templates/:account', handleRetirement);

  async function handleChange(event: H3Event): Promise<Response> {
    const change = changeSchema.safeParse(await readJson(event));
    if (!change.success)
      return createJsonResponse(400, {
        error:
          'malformed change: expected an object with template and, to amend, baseVersion',
      });
    const template = templateSchema.safeParse(change.data.template);
    if (!template.success) {
      return createJsonResponse(400, {error: z.prettifyError(template.error)});
    }
    const base = {
      operator: options.getOperatorName(event),
      template: template.data,
    };
    const {baseVersion} = change.data;
    return writeChange(
      baseVersion === undefined
        ? {kind: 'template-publish', ...base}
        : {kind: 'template-amend', ...base, baseVersion},
    );
  }

  async function handleRetirement(event: H3Event): Promise<Response> {
    const baseVersion = Number(event.url.searchParams.get('base') ?? NaN);
    if (!Number.isInteger(baseVersion)) {
      return createJsonResponse(400, {
        error: 'the query parameter base=VERSION is missing or not an integer',
      });
    }
    return writeChange({
      kind: 'template-retire',
      operator: options.getOperatorName(event),
      baseVersion,
      clientAccount: event.context.params?.['account'] ?? '',
    });
  }

  /** Writes a change; it is accepted once it has been read back from the log. */
  async function writeChange(entry: ConfigEntry): Promise<Response> {
    if (!config.isCaughtUp()) {
      return createJsonResponse(503, {
        error: 'this node has not caught up with the log yet; try another node',
        mayHaveTakenEffect: false,
      });
    }
    const answer = await writer.write(entry, ACCEPT_TIMEOUT_MS);
    if (answer.err) {
      return createJsonResponse(503, {
        error: `the log has not confirmed the change: ${answer.val.message}`,
        mayHaveTakenEffect: answer.val.mayHaveTakenEffect,
      });
    }
    if (answer.val.kind === 'rejected') {
      return createJsonResponse(409, {error: answer.val.reason});
    }
    return createJsonResponse(200, {version: answer.val.position.offset});
  }
}

function listTemplates(state: ConfigState): unknown {
  return [...state.templates.values()].map(item => ({
    client_account: item.template.client_account,
    description: item.template.description,
    ...item.current,
  }));
}
