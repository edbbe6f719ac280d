/** Checks of a template beyond its schema: whether its parts are consistent with one another. */
import type {
  MoveStage,
  RequestClass,
  ServerSelector,
  Template,
} from './template_schema';

/** A problem of a template and its location. */
export interface TemplateProblem {
  /** Keys from the template's root, such as `['move', 'stages', 1, 'share']`. */
  readonly path: ReadonlyArray<string | number>;
  /** A template with an error would not do what it says; one with warnings only is valid. */
  readonly severity: 'error' | 'warning';
  readonly message: string;
}

/** Required order of the kinds of stages in a move. */
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
    problems.push(createError([...path, 'name'], `duplicate class '${name}'`));
  }
  const broader = earlier.find(other => isAtLeastAsBroad(other, requestClass));
  if (broader !== undefined) {
    problems.push(
      createError(
        [...path],
        `never matches: class '${broader.name}' matches its requests first`,
      ),
    );
  }
  if (kind === 'model' && service !== undefined) {
    problems.push(
      createError(
        [...path, 'service'],
        "a class of kind 'model' cannot name a service",
      ),
    );
  }
  if (kind === 'service' && model !== undefined) {
    problems.push(
      createError(
        [...path, 'model'],
        "a class of kind 'service' cannot name a model",
      ),
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

/** Returns whether `left` matches every request that `right` matches. */
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
      createError([...path, 'name'], `duplicate stage '${stage.name}'`),
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
        `share ${stage.share} after ${shift?.share}: shares must not decrease`,
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
    problems.push(
      createError([...path, 'to'], 'selects the same servers as `from`'),
    );
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
        `starts before the preceding stage '${previous.name}'`,
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
