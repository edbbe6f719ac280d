/** Templates for tests. */
import {type Template, templateSchema} from '../../src/state';

/** Returns a template with defaults; `values` replaces parts of it. */
export function createTemplate(
  account: string,
  values: Record<string, unknown> = {},
): Template {
  return templateSchema.parse({
    client_account: account,
    api_key_sha256: [account.padEnd(64, '0').replace(/[^0-9a-f]/g, 'a')],
    operators: ['petra', 'jan'],
    models: ['small'],
    ...values,
  });
}
