/**
 * Types of claims: which attempt runs a non-idempotent request, and the outcome of that attempt.
 */
import {z} from 'zod';
import type {Verdict} from '../verdict';

const claimSchema = z.object({
  kind: z.literal('claim'),
  /** Hash of client account and idempotency key. */
  key: z.string().min(1),
  /** Process incarnation that claims the key. */
  node: z.string().min(1),
  /** Identifier of this attempt, unique among all nodes. */
  attempt: z.string().min(1),
  /** Hash of the request, to detect a key that is used again for another request. */
  requestHash: z.string().min(1),
  /** How long the key is valid, in milliseconds. */
  windowMs: z.number().positive(),
  /** Time stamp in the key, in milliseconds since the Unix epoch; absent for an opaque key. */
  keyAtMs: z.number().optional(),
});

const outcomeSchema = z.object({
  kind: z.literal('claim-outcome'),
  key: z.string().min(1),
  attempt: z.string().min(1),
  verdict: z.enum(['ran', 'may-have-run']),
  /** HTTP status of the backend server's answer. */
  status: z.number().int(),
  contentType: z.string(),
  /** Body of the answer; absent when it is too long to store. */
  body: z.string().optional(),
});

const releaseSchema = z.object({
  kind: z.literal('claim-release'),
  key: z.string().min(1),
  attempt: z.string().min(1),
});

/** Schema of the entries of a claims stream. */
export const claimEntrySchema = z.discriminatedUnion('kind', [
  claimSchema,
  outcomeSchema,
  releaseSchema,
]);

/** An entry of a claims stream. */
export type ClaimEntry = z.infer<typeof claimEntrySchema>;

/** Reasons for which an entry of a claims stream is rejected. */
export const ClaimRefusal = {
  /** Another attempt holds the key. */
  Held: 'claimed before',
  /** The key's time stamp is outside its window. */
  Expired: 'outside the key window',
  /** The entry's attempt does not hold the key. */
  NotHolder: 'not the holder',
} as const;
export type ClaimRefusal = (typeof ClaimRefusal)[keyof typeof ClaimRefusal];

const storedOutcomeSchema = z.object({
  verdict: z.enum(['ran', 'may-have-run']),
  status: z.number().int(),
  contentType: z.string(),
  body: z.string().optional(),
});

/** Schema of a claim in a snapshot. */
export const claimStateSchema = z.object({
  node: z.string(),
  attempt: z.string(),
  requestHash: z.string(),
  /** When the key's window ends, in milliseconds since the Unix epoch on the log's clock. */
  expiresAtMs: z.number(),
  outcome: storedOutcomeSchema.optional(),
});

/** Outcome of a non-idempotent request, with the backend server's answer. */
export interface ClaimOutcome {
  readonly verdict: Verdict;
  readonly status: number;
  readonly contentType: string;
  /** Absent when it was too long to store, or was dropped because of the total size limit. */
  readonly body?: string;
}

/** A claim in the state of a claims stream. */
export type ClaimState = z.infer<typeof claimStateSchema>;

/** A granted claim: the right to run a non-idempotent request once. */
export interface ClaimTicket {
  readonly key: string;
  readonly attempt: string;
}

/** A request to claim. */
export interface ClaimRequest {
  readonly clientAccount: string;
  readonly idempotencyKey: string;
  readonly requestHash: string;
  /** How long the key is valid, in milliseconds. */
  readonly windowMs: number;
  /** Longest wait for the result, in milliseconds. */
  readonly timeoutMs: number;
}

/** Result of a request to claim. */
export type ClaimResult =
  /** The caller may run the request at once; it must settle or release the ticket. */
  | {readonly kind: 'granted'; readonly ticket: ClaimTicket}
  /** An earlier attempt has ended with this outcome. */
  | {readonly kind: 'answered'; readonly outcome: ClaimOutcome}
  /** Another attempt holds the key, and its outcome did not become known in time. */
  | {readonly kind: 'unresolved'; readonly retryAfterMs: number}
  /** The key was used for another request. */
  | {readonly kind: 'conflict'}
  /** The key's time stamp is outside its window. */
  | {readonly kind: 'expired'}
  /** The log did not decide in time; the request does not run. */
  | {readonly kind: 'unavailable'; readonly retryAfterMs: number};

/** Decides which attempt runs a non-idempotent request. */
export interface ClaimsLedger {
  claim(request: ClaimRequest): Promise<ClaimResult>;
  /** Records the outcome of a granted claim. */
  settle(ticket: ClaimTicket, outcome: ClaimOutcome): void;
  /** Gives a granted claim back: the request did not run and will not under this ticket. */
  release(ticket: ClaimTicket): void;
  /**
   * Resolves with true once no write of an outcome or a release is in flight, or with false
   * after `timeoutMs`.
   */
  drain(timeoutMs: number): Promise<boolean>;
}
