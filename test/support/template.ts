/** Templates for tests. */
import {getKeyDigest} from '../../src/accounts';
import {type Template, templateSchema} from '../../src/state';

/** Returns a valid template of the account `studio`, with `changes` applied. */
export function createTestTemplate(
  changes: Partial<Record<keyof Template, unknown>> = {},
): Template {
  return templateSchema.parse({
    client_account: 'studio',
    api_key_sha256: [getKeyDigest('key-of-studio')],
    operators: ['anna'],
    models: ['small'],
    services: ['order-desk'],
    request_class: [
      {
        name: 'booking',
        kind: 'service',
        service: 'order-desk',
        idempotent: false,
        deadline_ms: 5_000,
      },
    ],
    ...changes,
  });
}
