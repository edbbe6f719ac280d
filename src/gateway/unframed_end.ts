/** Judges the ends of answers without a length, which also end with their connection when they are cut short. */
import {type ProcessProof, ProcessProof as Proof} from './process_proofs';

/** What the judgement on the end of an answer without a length rests on. */
export const EndEvidence = {
  /** The connection was reset. */
  Reset: 'reset',
  /** The bytes stop inside an event. */
  InsideEvent: 'inside-event',
  /** The content shows by itself whether it is whole. */
  Content: 'content',
  ...Proof,
} as const;
export type EndEvidence = (typeof EndEvidence)[keyof typeof EndEvidence];

/** The end of an answer without a length, and how it was judged. */
export interface UnframedEnd {
  readonly serverId: string;
  readonly requestId: string | undefined;
  readonly path: string;
  readonly status: number;
  /** Media type that the server states; undefined when it states none. */
  readonly contentType: string | undefined;
  readonly isComplete: boolean;
  readonly evidence: EndEvidence;
  readonly bodyBytes: number;
  /** Time since the head of the answer, in milliseconds. */
  readonly sinceHeadMs: number;
}

/** What is known of an answer when its connection has ended. */
export interface EndOptions {
  readonly wasReset: boolean;
  /** True when the bytes show that the answer is not whole. */
  readonly isCutOff: () => boolean;
  /** True when an answer that ends early must not pass for whole. */
  readonly needsProof: () => boolean;
  /** Asks for a proof that the process outlived the end; the returned function cancels. */
  readonly checkProcess: (
    callback: (proof: ProcessProof) => void,
  ) => () => void;
}

/** Why an answer is not whole, for the log. */
export const END_MESSAGES: Readonly<Partial<Record<EndEvidence, string>>> = {
  [EndEvidence.Reset]: 'connection was reset during the answer',
  [EndEvidence.InsideEvent]: 'stream ended inside an event',
  [EndEvidence.None]: 'nothing shows that an answer without a length is whole',
};

/** Judges an end and calls back once with the evidence, which has a message in `END_MESSAGES` when the answer is not whole. The returned function cancels. */
export function checkEnd(
  options: EndOptions,
  callback: (evidence: EndEvidence) => void,
): () => void {
  if (options.wasReset) callback(EndEvidence.Reset);
  else if (options.isCutOff()) callback(EndEvidence.InsideEvent);
  else if (!options.needsProof()) callback(EndEvidence.Content);
  else return options.checkProcess(callback);
  return () => undefined;
}
