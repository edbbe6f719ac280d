/** Checks of a template that its schema cannot make: whether its parts fit together. */
import type {
  MoveStage,
  RequestClass,
  ServerSelector,
  Template,
} from './template_schema';

/** What is wrong with a template, and where. */
export interface TemplateProblem {
  /** Keys from the template's root, such as `['move', 'stages', 1, 'share']`. */
  readonly path: ReadonlyArray<string | number>;
  /** An error makes the template do what it does not say; a warning is allowed. */
  readonly severity: 'error' | 'warning';
  readonly message: string;
}

/** Order of the stages of a move. */
const STAGE_ORDER: ReadonlyArray<MoveStage['kind']> = [
  'prepare_weights',
  'warm',
  'shift',
  'drain',
  'done',
];

/** Lists the problems of a template, in the order of its keys. */
export function checkTemplate(template: Template): TemplateProblem[] {
  const problems = template.request_class.flatMap((requestClass, index) =>
    checkRequestClass(template, requestClass, index),
  );
  if (template.move === undefined) return problems;
  const {stages, roll_back_to} = template.move;
  const isKnown = stages.some(stage => stage.name === roll_back_to);
  if (roll_back_to !== undefined && !isKnown) {
    problems.push(
      createError(['move', 'roll_back_to'], `no stage named '${roll_back_to}'`),
    );
  }
  stages.forEach((stage, index) => {
    problems.push(...checkStage(stages, stage, index));
  });
  return problems;
}

function checkRequestClass(
  template: Template,
  requestClass: RequestClass,
  index: number,
): TemplateProblem[] {
  const problems: TemplateProblem[] = [];
  const {kind, model, service, name} = requestClass;
  const path = ['request_class', index] as const;
  const earlier = template.request_class.slice(0, index);
  if (earlier.some(other => other.name === name)) {
    problems.push(createError([...path, 'name'], `a second class '${name}'`));
  }
  const broader = earlier.find(other => isAtLeastAsBroad(other, requestClass));
  if (broader !== undefined) {
    problems.push(
      createError([...path], `never matches: '${broader.name}' comes first`),
    );
  }
  if (kind === 'model' && service !== undefined) {
    problems.push(
      createError([...path, 'service'], 'a model request names no service'),
    );
  }
  if (kind === 'service' && model !== undefined) {
    problems.push(
      createError([...path, 'model'], 'a service call names no model'),
    );
  }
  if (kind === 'model' && model !== undefined) {
    if (!template.models.includes(model)) {
      problems.push(
        createNeverMatchesWarning([...path, 'model'], model, 'models'),
      );
    }
  }
  if (kind === 'service' && service !== undefined) {
    if (!template.services.includes(service)) {
      problems.push(
        createNeverMatchesWarning([...path, 'service'], service, 'services'),
      );
    }
  }
  return problems;
}

/** True when every request that `right` matches is matched by `left`. */
function isAtLeastAsBroad(left: RequestClass, right: RequestClass): boolean {
  if (left.kind !== right.kind) return false;
  const leftName = left.kind === 'model' ? left.model : left.service;
  const rightName = right.kind === 'model' ? right.model : right.service;
  return leftName === undefined || leftName === rightName;
}

function checkStage(
  stages: readonly MoveStage[],
  stage: MoveStage,
  index: number,
): TemplateProblem[] {
  const problems: TemplateProblem[] = [];
  const path = ['move', 'stages', index] as const;
  const earlier = stages.slice(0, index);
  if (earlier.some(other => other.name === stage.name)) {
    problems.push(
      createError([...path, 'name'], `a second stage '${stage.name}'`),
    );
  }
  const previous = earlier[earlier.length - 1];
  if (previous !== undefined) {
    problems.push(...checkStageOrder(previous, stage, [...path]));
  }
  const shift = [...earlier].reverse().find(other => other.kind === 'shift');
  if (stage.kind === 'shift' && stage.share < (shift?.share ?? 0)) {
    problems.push(
      createError(
        [...path, 'share'],
        `share ${stage.share} after ${shift?.share}: shares grow from stage to stage`,
      ),
    );
  }
  if (stage.kind === 'drain' && (shift?.share ?? 0) < 1) {
    problems.push(
      createError(
        [...path, 'kind'],
        `drains while the last shift leaves ${1 - (shift?.share ?? 0)} of the requests behind`,
      ),
    );
  }
  if (stage.kind === 'shift' && isSameSelector(stage.to, stage.from)) {
    problems.push(createError([...path, 'to'], 'selects the same as `from`'));
  }
  return problems;
}

function checkStageOrder(
  previous: MoveStage,
  stage: MoveStage,
  path: Array<string | number>,
): TemplateProblem[] {
  const problems: TemplateProblem[] = [];
  if (Date.parse(stage.starts_at) < Date.parse(previous.starts_at)) {
    problems.push(
      createError(
        [...path, 'starts_at'],
        `starts before '${previous.name}', which stands first`,
      ),
    );
  }
  if (STAGE_ORDER.indexOf(stage.kind) < STAGE_ORDER.indexOf(previous.kind)) {
    problems.push(
      createError(
        [...path, 'kind'],
        `'${stage.kind}' cannot follow '${previous.kind}'`,
      ),
    );
  }
  return problems;
}

function isSameSelector(left: ServerSelector, right: ServerSelector): boolean {
  const asText = (selector: ServerSelector): string =>
    JSON.stringify([
      selector.buildings ?? [],
      selector.failure_domains ?? [],
      selector.ids ?? [],
    ]);
  return asText(left) === asText(right);
}

function createNeverMatchesWarning(
  path: Array<string | number>,
  name: string,
  list: string,
): TemplateProblem {
  return {
    path,
    severity: 'warning',
    message: `never matches: '${name}' is not in '${list}'`,
  };
}

function createError(
  path: Array<string | number>,
  message: string,
): TemplateProblem {
  return {path, severity: 'error', message};
}
