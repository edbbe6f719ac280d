/** Maps the summary of a request to an event. */
import type {EventInput} from '../diagnostics';
import type {RequestSummary} from '../entry';

/** Returns the event for a request that has ended. */
export function createSummaryEvent(summary: RequestSummary): EventInput {
  const {requestId, clientAccount, engine} = summary;
  return {
    kind: getKind(summary),
    requestId,
    clientAccount,
    engine,
    cause: getCause(summary),
  };
}

function getKind({failure}: RequestSummary): string {
  if (failure === undefined) return 'request-answered';
  return failure.verdict === 'not-run' ? 'request-refused' : 'request-failed';
}

function getCause(summary: RequestSummary): string {
  const {failure, target, className, deadlineMs} = summary;
  const subject = `${summary.kind} ${target}, class ${className}`;
  const elapsed = `${Math.round(summary.durationMs)} of ${Math.round(deadlineMs)} ms`;
  if (failure === undefined) return `${subject}: answered in ${elapsed}`;
  return `${subject}: ${failure.kind}, ${failure.verdict}: ${failure.message} (${elapsed})`;
}
