/** Records a trace of live traffic, without any prompt text, in the format that `replay` reads. */
import type {RequestSummary} from './types';

/** Options of the recorder. */
export interface TraceRecorderOptions {
  /** Maximum number of requests held; the oldest is dropped for each one beyond it. */
  readonly capacity?: number;
}

/** One recorded request; its fields are those of a trace line. */
export interface RecordedRequest {
  readonly at_ms: number;
  readonly client_account: string;
  readonly kind: 'model' | 'service';
  readonly service?: string;
  readonly prompt_tokens: number;
  readonly output_tokens: number;
  readonly deadline_ms: number;
  readonly urgent: boolean;
  readonly idempotent: boolean;
  /** Hash of the idempotency key. */
  readonly key?: string;
  /** Hash of the longest hashed prefix of the prompt. */
  readonly prefix?: string;
  readonly prefix_tokens: number;
}

/** The recorder of one node. */
export interface TraceRecorder {
  add(summary: RequestSummary): void;
  /** Returns the requests held, ordered by arrival time. */
  list(): readonly RecordedRequest[];
  /** Returns how many requests have been dropped for newer ones. */
  getDroppedCount(): number;
}

const DEFAULT_CAPACITY = 20_000;

/** Creates an empty recorder. */
export function createTraceRecorder(
  options: TraceRecorderOptions = {},
): TraceRecorder {
  const capacity = options.capacity ?? DEFAULT_CAPACITY;
  const requests: RecordedRequest[] = [];
  let nextIndex = 0;
  let dropped = 0;
  return {add, list, getDroppedCount: () => dropped};

  function add(summary: RequestSummary): void {
    const request = createRecordedRequest(summary);
    if (requests.length < capacity) {
      requests.push(request);
      return;
    }
    requests[nextIndex] = request;
    nextIndex = (nextIndex + 1) % capacity;
    dropped++;
  }

  function list(): RecordedRequest[] {
    return [...requests].sort((left, right) => left.at_ms - right.at_ms);
  }
}

function createRecordedRequest(summary: RequestSummary): RecordedRequest {
  return {
    at_ms: Math.round(summary.receivedAtMs),
    client_account: summary.clientAccount,
    kind: summary.kind,
    service: summary.kind === 'service' ? summary.target : undefined,
    prompt_tokens: summary.promptTokens,
    output_tokens: summary.generatedTokens,
    deadline_ms: Math.round(summary.deadlineMs),
    urgent: summary.urgent,
    idempotent: summary.idempotent,
    key: summary.keyHash,
    prefix: summary.prefixHashes.at(-1),
    prefix_tokens: summary.prefixTokens,
  };
}
