/** Parses a node's response to a template change. */
import {Err, Ok, type Result} from 'ts-results';
import {z} from 'zod';
import {createMessage, type Message, messages} from '../diagnostics';
import {getErrorText, type OperatorResponse} from './operator_client';

const acceptedResponseSchema = z.looseObject({version: z.number()});

/** Returns the accepted version, or a message that says why the change was not accepted. */
export function parseAcceptedVersion(
  account: string,
  address: string,
  answer: OperatorResponse,
): Result<number, Message> {
  const text = getErrorText(answer);
  if (answer.status === 409) {
    return Err(createMessage(messages.TemplateConflict, [account, text]));
  }
  if (answer.status === 503) {
    return Err(createMessage(messages.NotAcceptedYet, [account, text]));
  }
  if (answer.status !== 200) {
    return Err(createMessage(messages.RequestRefused, [address, text]));
  }
  const parsed = acceptedResponseSchema.safeParse(answer.body);
  if (parsed.success) return Ok(parsed.data.version);
  return Err(
    createMessage(messages.UnexpectedNodeResponse, [address, 'no version']),
  );
}
