/** Explains what this node would do with a request, for `anvilstack explain`. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {Ok, type Result} from 'ts-results';
import type {
  CandidateExplanation,
  Explanation,
  ExplainRequest,
  Outcome,
} from '../explain';
import {EngineRole} from '../backends';
import type {PredictedDispatch, ServerView} from '../routing';
import type {
  ConfigEntry,
  ConfigState,
  StreamFollower,
  Template,
} from '../state';
import {createFailure, FailureKind, type RequestFailure} from '../verdict';
import {getClassification} from './classify';
import {createNotReadyFailure, getFailureStatus} from './error_response';
import {parseExplainedInput} from './explained_input';
import type {RequestInput, RequestPreview} from './types';

/** Options of an explainer. */
export interface RequestExplainerOptions {
  readonly node: string;
  readonly config: Pick<
    StreamFollower<ConfigState, ConfigEntry>,
    'getState' | 'getNextOffset' | 'getLogAnswerAgeMs'
  >;
  readonly isReady: () => boolean;
  readonly preview: RequestPreview;
}

/** Explains a request, or names the field that is wrong. */
export type RequestExplainer = (
  request: ExplainRequest,
) => Result<Explanation, string>;

/**
 * Number of times that the decision is made with other random numbers: an outcome with a chance of
 * 2 % is missed in 0.6 % of the explanations.
 */
const DRAW_COUNT = 256;
/** The same random numbers for each explanation, so that equal states give equal explanations. */
const DRAW_SEED = 1;

/** Creates an explainer. */
export function createRequestExplainer(
  options: RequestExplainerOptions,
): RequestExplainer {
  const {config, preview} = options;
  return request => {
    const base: Explanation = {
      node: options.node,
      stateAgeMs: Math.round(config.getLogAnswerAgeMs()),
      configVersion: Math.max(0, config.getNextOffset() - 1),
      method: request.method,
      targets: [],
    };
    const parsed = parseExplainedInput(request);
    if (parsed.err) return parsed;
    if (parsed.val === undefined) {
      const text = `no route ${request.path.split('?')[0]}`;
      return Ok({...base, refusal: createFailureOutcome('NotFound', text)});
    }
    if (!options.isReady()) {
      const refusal = createRefusal([createNotReadyFailure()]);
      return Ok({...base, refusal});
    }
    const template = tryGetTemplate(request.account);
    if (template === undefined) {
      const text = 'the client account is missing or unknown';
      const refusal = createFailureOutcome('Unauthorized', text);
      return Ok({...base, account: {kind: 'refused'}, refusal});
    }
    const input: RequestInput = {...parsed.val, template};
    return Ok({
      ...base,
      ...createRoute(input, request),
      account: {kind: 'admitted', name: template.client_account},
      targets: [buildTarget(input)],
    });
  };

  function tryGetTemplate(account: string | undefined): Template | undefined {
    if (account === undefined) return undefined;
    return config.getState().templates.get(account)?.template;
  }

  function buildTarget(input: RequestInput) {
    const generator = xoroshiro128plus(DRAW_SEED);
    const getRandom = (): number => uniformFloat64(generator);
    const draws = Array.from({length: DRAW_COUNT}, () =>
      preview.predict(input, getRandom),
    );
    const outcomes = collectOutcomes(draws);
    const views = preview.listServerViews(input);
    const [first] = outcomes;
    const chosenId = first.kind === 'send' ? first.serverId : undefined;
    const possibleIds = new Set(
      outcomes.flatMap(item => (item.kind === 'send' ? [item.serverId] : [])),
    );
    return {
      service: input.kind === 'model' ? input.model : input.service,
      fraction: 1,
      outcomes,
      isComplete: outcomes.length === 1,
      candidates: views.map(view =>
        createCandidate(view, {
          chosenId,
          possibleIds,
          chosen: views.find(({id}) => id === chosenId),
        }),
      ),
    };
  }
}

/** Names the request class as the route; urgent requests come first, hence rank 0. */
function createRoute(input: RequestInput, request: ExplainRequest) {
  const {kind, template} = input;
  const target = kind === 'model' ? input.model : input.service;
  const found = getClassification(template, {kind, target});
  const plainKind = found.idempotent ? 'idempotent' : 'non-idempotent';
  const limitMs = request.deadlineMs ?? found.deadlineMs;
  return {
    route: {
      name: found.name,
      kind: kind === 'model' ? ('stream' as const) : plainKind,
      timeoutMs: found.deadlineMs,
      objectiveMs: found.deadlineMs,
    } as const,
    rank: found.urgent ? 0 : 1,
    limitMs,
  };
}

function createFailureOutcome(
  kind: 'NotFound' | 'Unauthorized',
  text: string,
): Outcome {
  return createRefusal([createFailure(FailureKind[kind], text)]);
}

/** Returns the distinct outcomes, the most frequent one first. */
function collectOutcomes(draws: readonly PredictedDispatch[]): Outcome[] {
  const groups = new Map<string, PredictedDispatch[]>();
  for (const draw of draws) {
    const key = getOutcomeKey(draw);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [draw]);
    else group.push(draw);
  }
  return [...groups.values()]
    .sort((left, right) => right.length - left.length)
    .map(createOutcome);
}

function getOutcomeKey(draw: PredictedDispatch): string {
  if (draw.kind === 'send') return `send ${draw.serverId}`;
  // Texts of refusals hold predicted times, which differ by the engine that was looked at.
  return draw.kind === 'refuse' ? `refuse ${draw.failure.kind}` : draw.kind;
}

function createOutcome(group: readonly PredictedDispatch[]): Outcome {
  const [first] = group;
  switch (first.kind) {
    case 'send':
      return {kind: 'send', serverId: first.serverId};
    case 'wait':
      return {
        kind: 'wait',
        predictedWaitMs: first.waitMs,
        budgetMs: first.budgetMs,
      };
    case 'refuse':
      return createRefusal(
        group.flatMap(item => (item.kind === 'refuse' ? [item.failure] : [])),
      );
  }
}

/** Creates the refusal for failures of one kind, with the text of the first. */
function createRefusal(failures: readonly RequestFailure[]): Outcome {
  const [{kind, message}] = failures;
  const delays = failures.flatMap(({retryAfterMs}) => retryAfterMs ?? []);
  return {
    kind: 'refuse',
    status: getFailureStatus(kind),
    reason: message,
    ...(delays.length === 0
      ? {}
      : {retryAfterMs: {min: Math.min(...delays), max: Math.max(...delays)}}),
  };
}

interface CandidateContext {
  readonly chosenId: string | undefined;
  readonly chosen: ServerView | undefined;
  readonly possibleIds: ReadonlySet<string>;
}

function createCandidate(
  view: ServerView,
  context: CandidateContext,
): CandidateExplanation {
  const {role, cause: obstacle, slowdown, openCount, ...shown} = view;
  const isChosen = view.id === context.chosenId;
  const isPossible = context.possibleIds.has(view.id);
  const cause = isPossible
    ? 'may be chosen at random'
    : (obstacle ?? findLostCause(view, context.chosen));
  const stage =
    role === EngineRole.Prefill || role === EngineRole.Decode
      ? role
      : undefined;
  return {
    ...shown,
    ...(stage === undefined ? {} : {stage}),
    isChosen,
    isPossible,
    ...(isChosen ? {} : {cause}),
    limitWaitMs: 0,
    timeFactor: slowdown,
    openCount,
  };
}

function findLostCause(view: ServerView, chosen: ServerView | undefined) {
  if (chosen === undefined) return 'the request is not sent';
  if (view.score === undefined || chosen.score === undefined) {
    return `has ${view.openCount} requests, the chosen one ${chosen.openCount}`;
  }
  return `scores ${Math.round(view.score - chosen.score)} ms more`;
}
