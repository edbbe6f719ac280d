/** The request classes and client accounts of the example deployments, for generated traces. */

/** A range of whole numbers, both ends included. */
export type Range = readonly [low: number, high: number];

/** A class of requests: fixed properties, and the ranges that sizes are drawn from. */
export interface WorkloadClass {
  readonly kind: 'model' | 'service';
  readonly service?: string;
  readonly accounts: readonly string[];
  readonly promptTokens: Range;
  readonly outputTokens: Range;
  readonly deadlineMs: number;
  readonly urgent: boolean;
  readonly idempotent: boolean;
  /** Number of prefixes shared by the prompts, and their length in tokens. */
  readonly prefixes?: {readonly count: number; readonly tokens: number};
}

const NO_TOKENS: Range = [0, 0];

/** Classes of Tatranská Páska Duplikácia. */
export const TATRANSKA_CLASSES = {
  tape_summary: createModelClass({
    accounts: ['studio-brana', 'studio-lomnica'],
    promptTokens: [900, 2_400],
    outputTokens: [90, 160],
    deadlineMs: 12_000,
    urgent: true,
  }),
  catalogue_verdict: createModelClass({
    accounts: ['label-javor', 'label-kriz', 'merged-catalogues'],
    promptTokens: [3_200, 5_200],
    outputTokens: [12, 30],
    deadlineMs: 5_000,
  }),
  catalogue_shared: createModelClass({
    accounts: ['label-javor', 'label-kriz', 'merged-catalogues'],
    promptTokens: [4_000, 5_200],
    outputTokens: [12, 40],
    deadlineMs: 5_000,
    prefixes: {count: 24, tokens: 3_584},
  }),
  quote_letter: createModelClass({
    accounts: ['sales-desk', 'merged-catalogues'],
    promptTokens: [200, 700],
    outputTokens: [240, 420],
    deadlineMs: 25_000,
  }),
  label_check: createModelClass({
    accounts: ['print-shop', 'choir-union'],
    promptTokens: [300, 900],
    outputTokens: [20, 60],
    deadlineMs: 6_000,
  }),
  order_status: createModelClass({
    accounts: ['choir-union', 'language-school'],
    promptTokens: [80, 240],
    outputTokens: [24, 60],
    deadlineMs: 4_000,
    urgent: true,
  }),
  booking: createServiceClass('order-desk', false, [
    'choir-union',
    'language-school',
    'label-javor',
  ]),
  lookup: createServiceClass('order-desk', true, ['choir-union']),
} as const;

/** Classes of Coöperatie Boeiboord Vlaanderen. */
export const BOEIBOORD_CLASSES = {
  fascia_quote: createModelClass({
    accounts: ['dakwerken-maes', 'dakwerken-claes', 'dakwerken-wouters'],
    promptTokens: [600, 1_600],
    outputTokens: [90, 180],
    deadlineMs: 12_000,
    urgent: true,
  }),
  price_list: createModelClass({
    accounts: ['inkoop-gent', 'inkoop-kortrijk'],
    promptTokens: [3_000, 5_000],
    outputTokens: [12, 30],
    deadlineMs: 6_000,
  }),
  price_list_shared: createModelClass({
    accounts: ['inkoop-gent', 'inkoop-kortrijk'],
    promptTokens: [3_600, 4_800],
    outputTokens: [12, 40],
    deadlineMs: 6_000,
    prefixes: {count: 16, tokens: 3_072},
  }),
  offer_letter: createModelClass({
    accounts: ['dakwerken-maes', 'dakwerken-claes', 'binnendienst'],
    promptTokens: [200, 600],
    outputTokens: [240, 400],
    deadlineMs: 25_000,
  }),
  price_lookup: createModelClass({
    accounts: ['dakwerken-maes', 'dakwerken-wouters', 'binnendienst'],
    promptTokens: [100, 400],
    outputTokens: [20, 50],
    deadlineMs: 5_000,
  }),
  stock_order: createServiceClass('yard', false, [
    'dakwerken-maes',
    'dakwerken-claes',
    'dakwerken-wouters',
  ]),
  stock_lookup: createServiceClass('yard', true, ['binnendienst']),
} as const;

function createModelClass(
  parts: Pick<
    WorkloadClass,
    'accounts' | 'promptTokens' | 'outputTokens' | 'deadlineMs'
  > &
    Partial<WorkloadClass>,
): WorkloadClass {
  return {kind: 'model', urgent: false, idempotent: true, ...parts};
}

function createServiceClass(
  service: string,
  idempotent: boolean,
  accounts: readonly string[],
): WorkloadClass {
  return {
    kind: 'service',
    service,
    accounts,
    promptTokens: NO_TOKENS,
    outputTokens: NO_TOKENS,
    deadlineMs: 8_000,
    urgent: false,
    idempotent,
  };
}
