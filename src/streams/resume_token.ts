/** Signed tokens with which a caller resumes its answer on any node. */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Err, Ok, type Result} from 'ts-results';
import {z} from 'zod';
import {createFailure, FailureKind, type RequestFailure} from '../verdict';

const claimsSchema = z.strictObject({
  requestId: z.string().min(1),
  clientAccount: z.string().min(1),
  /** Model of the request. */
  model: z.string().min(1),
  /** Which of the OpenAI API's two response formats the answer has. */
  shape: z.enum(['chat', 'text']),
  /** Engine that was answering when the token was made. */
  engine: z.string().min(1),
  idempotent: z.boolean(),
  /** When the token expires, in milliseconds since the Unix epoch. */
  expiresAtMs: z.number(),
});

/** Contents of a resume token. */
export type ResumeTokenClaims = z.infer<typeof claimsSchema>;

/** Longest token that is parsed, in characters; longer ones are refused. */
const MAX_TOKEN_LENGTH = 2_048;

/** Creates a token that any node with the same secret accepts. */
export function createResumeToken(
  secret: string,
  claims: ResumeTokenClaims,
): string {
  const body = Buffer.from(JSON.stringify(claims)).toString('base64url');
  return `${body}.${computeSignature(secret, body)}`;
}

/**
 * Verifies and reads a token for a client account. A signature by any of `secrets` is
 * accepted, so that a secret can be replaced while tokens signed by the old one are in use.
 * A token of another client account is refused with `not-found`, like one that does not exist.
 */
export function tryParseResumeToken(
  secrets: readonly string[],
  token: string,
  context: {clientAccount: string; nowWallMs: number},
): Result<ResumeTokenClaims, RequestFailure> {
  const claims = tryReadClaims(secrets, token);
  if (claims === undefined || claims.clientAccount !== context.clientAccount) {
    return Err(
      createFailure(FailureKind.NotFound, 'there is no such stream to resume'),
    );
  }
  if (context.nowWallMs >= claims.expiresAtMs) {
    return Err(
      createFailure(
        FailureKind.NotFound,
        `the resume token has expired; ${getRetryAdvice(claims)}`,
      ),
    );
  }
  return Ok(claims);
}

/** Returns the advice for a caller whose answer cannot be resumed, as part of an error message. */
export function getRetryAdvice(claims: ResumeTokenClaims): string {
  return claims.idempotent
    ? 'send the request again'
    : 'send the request again with the same Idempotency-Key to learn its outcome; it will not run twice';
}

function tryReadClaims(
  secrets: readonly string[],
  token: string,
): ResumeTokenClaims | undefined {
  if (token.length > MAX_TOKEN_LENGTH) return undefined;
  const [body, signature, ...rest] = token.split('.');
  if (signature === undefined || rest.length > 0) return undefined;
  if (!secrets.some(secret => isSignatureValid(secret, body, signature))) {
    return undefined;
  }
  try {
    const text = Buffer.from(body, 'base64url').toString('utf8');
    const parsed = claimsSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function isSignatureValid(
  secret: string,
  body: string,
  signature: string,
): boolean {
  const expected = Buffer.from(computeSignature(secret, body));
  const actual = Buffer.from(signature);
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}

function computeSignature(secret: string, body: string): string {
  return createHmac('sha256', secret).update(body).digest('base64url');
}
