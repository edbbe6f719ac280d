/** A template of typical size for benchmarks. */
import {templateSchema} from '../src/state';

/** Returns a template with three request classes and a move of six stages. */
export function createTemplateInput(index: number): unknown {
  return templateSchema.parse({
    client_account: `account-${index}`,
    description: `Client account number ${index} of the benchmark`,
    api_key_sha256: [index.toString(16).padStart(64, '0')],
    operators: ['petra', 'jan'],
    models: ['small', 'large'],
    services: ['order-desk'],
    request_class: [
      {name: 'booking', kind: 'service', idempotent: false, urgent: true},
      {name: 'lookup', kind: 'service'},
      {name: 'summary', kind: 'model', urgent: true, deadline_ms: 4_000},
    ],
    move: {
      stages: [
        'prepare_weights',
        'warm',
        'shift',
        'shift',
        'drain',
        'done',
      ].map((kind, stage) => ({
        name: `${kind}-${stage}`,
        kind,
        starts_at: `2026-12-05T0${stage}:00:00Z`,
        to: {buildings: ['new']},
        from: {buildings: ['old']},
        share: stage / 5,
      })),
    },
  });
}
