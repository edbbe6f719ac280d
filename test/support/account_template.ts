/** Templates of several client accounts, for tests of the stream `config`. */
import type {Template} from '../../src/state';
import {createTestTemplate} from './template';

/** Returns a template of the given account with a key of its own and two operators. */
export function createAccountTemplate(
  account: string,
  values: Record<string, unknown> = {},
): Template {
  return createTestTemplate({
    client_account: account,
    api_key_sha256: [account.padEnd(64, '0').replace(/[^0-9a-f]/g, 'a')],
    operators: ['petra', 'jan'],
    services: [],
    request_class: [],
    ...values,
  });
}
