/** Formats explanations as text for people. */
import {formatTable} from '../diagnostics/table';
import type {
  CandidateExplanation,
  Explanation,
  MsRange,
  Outcome,
  TargetExplanation,
} from './types';

/** Formats an explanation. */
export function formatExplanation(explanation: Explanation): string {
  const {node, stateAgeMs, configVersion, refusal, targets} = explanation;
  const age = stateAgeMs === null ? 'never current' : `${stateAgeMs} ms old`;
  const lines = [
    `as seen by ${node}, state ${age}, configuration ${configVersion}`,
    ...formatCaller(explanation),
    ...(refusal === undefined ? [] : [formatOutcome(refusal)]),
  ];
  return [`${lines.join('\n')}\n`, ...targets.map(formatTarget)].join('\n');
}

function formatCaller(explanation: Explanation): string[] {
  const {route, account, rank, limitMs} = explanation;
  if (route === undefined || account === undefined) return [];
  const accountText =
    account.kind === 'unchecked'
      ? 'not checked'
      : (account.name ?? (account.kind === 'admitted' ? 'none' : 'refused'));
  return [
    `route ${route.name} (${route.kind}), objective ${route.objectiveMs} ms`,
    `account ${accountText}, rank ${rank}, time limit ${limitMs} ms`,
  ];
}

function formatTarget(target: TargetExplanation): string {
  const {service, fraction, outcomes, isComplete, exceededShare} = target;
  const percent = Math.round(fraction * 100);
  const lines = [
    `service ${service} (${percent}% of the route)`,
    ...outcomes.map(formatOutcome),
  ];
  if (!isComplete) {
    lines.push(
      'other outcomes are possible: not all random choices were looked at',
    );
  }
  if (exceededShare !== undefined) {
    const covered = Math.round(exceededShare.fraction * 100);
    lines.push(
      `the prompt exceeds the account's share, which covers ${covered}% of its work (${exceededShare.source}, ${exceededShare.ageMs} ms old)`,
    );
  }
  const decode = target.decode?.find(item => item.isChosen);
  if (decode !== undefined) lines.push(`then decode at ${decode.id}`);
  return `${lines.join('\n')}\n${formatCandidates(target.candidates)}`;
}

function formatOutcome(outcome: Outcome): string {
  switch (outcome.kind) {
    case 'send':
      return `sent to ${outcome.serverId}`;
    case 'wait':
      return `waits at the node: ${Math.round(outcome.predictedWaitMs)} ms predicted, ${Math.round(outcome.budgetMs)} ms at most`;
    case 'trial':
      return `asks for a trial of ${outcome.partId}, which is quarantined`;
    case 'refuse':
      return `refused: ${outcome.status} ${outcome.reason}${formatRetry(outcome.retryAfterMs)}`;
  }
}

function formatRetry(range: MsRange | undefined): string {
  if (range === undefined) return '';
  const min = Math.round(range.min);
  const max = Math.round(range.max);
  return `, retry after ${min === max ? min : `${min} to ${max}`} ms`;
}

const HEADINGS = [
  'SERVER',
  'STAGE',
  'DOMAIN',
  'WAIT',
  'PREFILL/ANSWER',
  'FACTOR',
  'HEALTHY',
  'PAUSE',
  'LIMIT/S',
  'SCORE',
  'RESULT',
];

function formatCandidates(candidates: readonly CandidateExplanation[]): string {
  return formatTable(
    HEADINGS,
    candidates.map(item => [
      item.id,
      item.stage ?? '',
      item.failureDomain,
      formatMs(item.waitMs),
      formatMs(item.prefillMs ?? item.answerMs),
      item.timeFactor.toFixed(2),
      `${Math.round(item.healthyChance * 100)}%`,
      item.pausedMs > 0 ? formatMs(item.pausedMs) : '',
      item.limitPerS === undefined ? '' : String(item.limitPerS),
      formatMs(item.score),
      item.isChosen ? 'chosen' : (item.cause ?? ''),
    ]),
  );
}

function formatMs(ms: number | undefined): string {
  return ms === undefined ? '' : ms.toFixed(1);
}
