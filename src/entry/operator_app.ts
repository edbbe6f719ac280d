/** HTTP application for operators: templates, events, moves and the state of the fleet. */
import {H3, type H3Event} from 'h3';
import {z} from 'zod';
import {
  compareTimes,
  type EventRing,
  LOG_LEVELS,
  type LogLevel,
  type TimelineEvent,
} from '../diagnostics';
import {EXPLAIN_PATH, parseExplainRequest} from '../explain';
import type {ProgressRow} from '../planning/move';
import type {
  ConfigEntry,
  ConfigState,
  StreamFollower,
  StreamWriter,
} from '../state';
import {selectEvents} from './event_filter';
import {createJsonResponse, readJson} from './json_response';
import {type Operator, OperatorRight, tryGetOperator} from './operator_access';
import type {RequestExplainer} from './request_explainer';
import {addTemplateRoutes} from './template_routes';
import type {TraceRecorder} from './trace_recorder';

/** Options of the operators' application. */
export interface OperatorAppOptions {
  readonly node: string;
  readonly operators: readonly Operator[];
  readonly config: StreamFollower<ConfigState, ConfigEntry>;
  readonly configWriter: StreamWriter<ConfigEntry>;
  readonly events: EventRing;
  readonly recorder: TraceRecorder;
  /**
   * Collects the events of the peers, of one request or of all; `missing` lists the nodes that did
   * not answer.
   */
  readonly collectPeerEvents: (filter: {
    readonly requestId?: string;
  }) => Promise<{
    readonly events: readonly TimelineEvent[];
    readonly missing: readonly string[];
  }>;
  /** Returns the body of `GET /operators/fleet`. */
  readonly getFleet: () => unknown;
  /** Returns the progress of each client account's move. */
  readonly listProgress: () => readonly ProgressRow[];
  readonly setLogLevel: (level: LogLevel) => void;
  /** Explains a request; without an effect. */
  readonly explain: RequestExplainer;
}

const logLevelSchema = z.strictObject({level: z.enum(LOG_LEVELS)});

/** Creates the application. */
export function createOperatorApp(options: OperatorAppOptions): H3 {
  const {config, events, recorder} = options;
  const app = new H3({
    onError: () =>
      createJsonResponse(500, {error: 'the request could not be handled'}),
  });
  app.use('/operators/**', checkAccess);
  app.use(EXPLAIN_PATH, checkAccess);
  addTemplateRoutes(app, {
    config,
    writer: options.configWriter,
    getOperatorName: event => getOperator(event)?.name ?? '',
  });
  app.get('/operators/events', listEvents);
  app.get('/operators/in_force', () => ({
    node: options.node,
    nextOffset: config.getNextOffset(),
    isCaughtUp: config.isCaughtUp(),
    counts: config.getCounts(),
  }));
  app.get('/operators/fleet', () => options.getFleet());
  app.get('/operators/progress', () => options.listProgress());
  app.get('/operators/trace', () => ({
    node: options.node,
    dropped: recorder.getDroppedCount(),
    requests: recorder.list(),
  }));
  app.post('/operators/log_level', setLogLevel);
  app.post(EXPLAIN_PATH, answerExplain);
  app.all('/**', () => createJsonResponse(404, {error: 'no such route'}));
  return app;

  function checkAccess(event: H3Event): Response | undefined {
    const operator = getOperator(event);
    if (operator === undefined) {
      return createJsonResponse(401, {
        error: "the operator's token is missing or unknown",
      });
    }
    const right = getNeededRight(event);
    if (operator.rights.includes(right)) return undefined;
    return createJsonResponse(403, {
      error: `operator ${operator.name} has no right to ${right}`,
    });
  }

  function getOperator(event: H3Event): Operator | undefined {
    return tryGetOperator(
      options.operators,
      event.req.headers.get('authorization'),
    );
  }

  /** Lists events; with `peers=1` also those of the peers, and the peers that did not answer. */
  async function listEvents(event: H3Event): Promise<unknown> {
    const query = event.url.searchParams;
    const nodeFields = {
      node: options.node,
      time: events.getTime(),
      dropped: events.getDroppedCount(),
    };
    if (query.get('peers') !== '1') {
      return {...nodeFields, events: selectEvents(events.list(), query)};
    }
    const requestId = query.get('request') ?? undefined;
    const {events: peerEvents, missing} = await options.collectPeerEvents({
      requestId,
    });
    const merged = [...events.list(), ...peerEvents].sort((left, right) =>
      compareTimes(left.at, right.at),
    );
    return {...nodeFields, missing, events: selectEvents(merged, query)};
  }

  async function answerExplain(event: H3Event): Promise<Response> {
    const answer = parseExplainRequest(await event.req.text()).andThen(
      options.explain,
    );
    return answer.ok
      ? createJsonResponse(200, answer.val)
      : createJsonResponse(400, {error: answer.val});
  }

  async function setLogLevel(event: H3Event): Promise<Response> {
    const parsed = logLevelSchema.safeParse(await readJson(event));
    if (!parsed.success) {
      return createJsonResponse(400, {
        error: `level must be one of ${LOG_LEVELS.join(', ')}`,
      });
    }
    options.setLogLevel(parsed.data.level);
    return createJsonResponse(200, parsed.data);
  }
}

function getNeededRight(event: H3Event): OperatorRight {
  const isRead =
    event.req.method === 'GET' || event.url.pathname === EXPLAIN_PATH;
  if (isRead) return OperatorRight.Read;
  return event.url.pathname.startsWith('/operators/templates')
    ? OperatorRight.Change
    : OperatorRight.Administer;
}
