/** Authenticates operators and defines their rights. */
import {timingSafeEqual} from 'node:crypto';
import {getKeyDigest, tryGetBearerToken} from '../accounts';

/** Rights of an operator. */
export const OperatorRight = {
  /** Read templates, events, the fleet and recorded traces. */
  Read: 'read',
  /** Publish, amend and retire templates. */
  Change: 'change',
  /** Change the log level. */
  Administer: 'administer',
} as const;
export type OperatorRight = (typeof OperatorRight)[keyof typeof OperatorRight];

/** An operator who may use the operators' listener. */
export interface Operator {
  readonly name: string;
  /** SHA-256 of the operator's token, in hexadecimal. */
  readonly tokenSha256: string;
  readonly rights: readonly OperatorRight[];
}

/** Returns the operator whose token the header holds, if any. */
export function tryGetOperator(
  operators: readonly Operator[],
  authorization: string | null,
): Operator | undefined {
  const token = tryGetBearerToken(authorization);
  if (token === undefined) return undefined;
  const hash = Buffer.from(getKeyDigest(token), 'hex');
  return operators.find(operator =>
    timingSafeEqual(Buffer.from(operator.tokenSha256, 'hex'), hash),
  );
}
