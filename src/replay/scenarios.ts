/** The scenarios of the generated traces in `examples/traces`, and the bounds on their outcomes. */
import {computeGoodputBound} from './goodput_bound';
import type {TracePhase, TraceSpec} from './trace_generator';
import type {OutcomeBounds, Trace, TraceFault, TraceHeader} from './types';
import {BOEIBOORD_CLASSES, TATRANSKA_CLASSES} from './workloads';

/** What a committed trace is generated from, and the bounds on its outcome. */
export interface Scenario {
  readonly name: string;
  readonly spec: TraceSpec;
  /** All bounds but the one on goodput, which depends on the generated trace. */
  readonly bounds: OutcomeBounds;
}

type Role = 'prefill' | 'decode' | 'mixed';

const ENGINE_COUNT = 13;

/** Bounds that hold for every trace, whatever faults it injects. */
export const SAFETY_BOUNDS: OutcomeBounds = {
  run_twice: {max: 0},
  not_run_but_ran: {max: 0},
  cut: {max: 0},
  command_conflicts: {max: 0},
  stale_commands_effective: {max: 0},
  new_work_after_leaving: {max: 0},
};

/** The latency target, for traces whose load is within capacity. */
const LATENCY_BOUNDS: OutcomeBounds = {
  p95_first_token_ms: {max: 450},
  p95_between_tokens_ms: {max: 42},
};

const TATRANSKA_DOMAINS = ['sk-west-1', 'sk-west-2', 'sk-west-3', 'sk-west-4'];
const BOEIBOORD_DOMAINS = ['gent', 'brugge', 'kortrijk'];

const CATALOGUE_MIX = {
  catalogue_verdict: 80,
  label_check: 10,
  order_status: 8,
  booking: 4,
};
const LETTER_MIX = {
  quote_letter: 60,
  order_status: 15,
  label_check: 10,
  booking: 5,
};
const ORDER_DESK_BULK_MIX = {
  quote_letter: 40,
  catalogue_verdict: 30,
  order_status: 10,
  booking: 4,
};
/** About a third of the work is prefill, as in the usual load. */
const ORDER_DESK_MIX = {
  tape_summary: 10,
  label_check: 30,
  order_status: 30,
  quote_letter: 18,
  catalogue_verdict: 2,
  booking: 8,
  lookup: 8,
};
const PRICE_LIST_MIX = {
  price_list: 80,
  price_lookup: 15,
  fascia_quote: 5,
  stock_order: 4,
};
const OFFER_MIX = {
  offer_letter: 60,
  price_lookup: 15,
  fascia_quote: 10,
  stock_order: 5,
};
const QUOTE_DESK_BULK_MIX = {
  offer_letter: 40,
  price_list: 30,
  fascia_quote: 10,
  stock_order: 4,
};
/** About a third of the work is prefill, as in the usual load. */
const QUOTE_DESK_MIX = {
  fascia_quote: 30,
  price_lookup: 40,
  offer_letter: 12,
  price_list: 2,
  stock_order: 8,
  stock_lookup: 6,
};

/** Lists the committed scenarios. */
export function listScenarios(): readonly Scenario[] {
  return [...listTatranskaScenarios(), ...listBoeiboordScenarios()];
}

function listTatranskaScenarios(): readonly Scenario[] {
  return [
    createTatranskaScenario('swing', 11, {
      phases: [
        {durationMs: 8_000, load: 0.45, mix: ORDER_DESK_MIX},
        {durationMs: 28_000, load: 0.7, mix: CATALOGUE_MIX},
        {durationMs: 22_000, load: 0.7, mix: LETTER_MIX},
        {durationMs: 9_000, load: 0.7, mix: CATALOGUE_MIX},
      ],
    }),
    createTatranskaScenario('steady', 12, {
      phases: [{durationMs: 45_000, load: 0.45, mix: ORDER_DESK_MIX}],
      burstiness: 0.4,
      bounds: {...LATENCY_BOUNDS, role_changes: {max: 0}},
    }),
    createTatranskaScenario('prefix', 13, {
      phases: [
        {durationMs: 10_000, load: 0.4, mix: ORDER_DESK_MIX},
        {
          durationMs: 20_000,
          load: 0.4,
          mix: {
            catalogue_shared: 70,
            label_check: 15,
            order_status: 10,
            booking: 4,
          },
        },
      ],
    }),
    createTatranskaScenario('urgent', 14, {
      phases: [
        {
          durationMs: 40_000,
          load: 0.8,
          mix: {
            quote_letter: 40,
            catalogue_verdict: 20,
            order_status: 20,
            tape_summary: 10,
            booking: 4,
          },
        },
      ],
    }),
    createTatranskaScenario('overload', 15, {
      phases: [
        {durationMs: 8_000, load: 0.5, mix: ORDER_DESK_MIX},
        {durationMs: 20_000, load: 1.5, mix: ORDER_DESK_BULK_MIX},
        {durationMs: 8_000, load: 0.4, mix: ORDER_DESK_MIX},
      ],
    }),
    createTatranskaScenario('faults', 16, {
      phases: [{durationMs: 80_000, load: 0.2, mix: ORDER_DESK_MIX}],
      repeatedKeys: 0.3,
      faults: [
        {
          at_ms: 10_000,
          kind: 'engine_crash',
          target: 'engine-02',
          for_ms: 8_000,
        },
        {
          at_ms: 20_000,
          kind: 'engine_leave',
          target: 'engine-05',
          for_ms: 20_000,
        },
        {at_ms: 28_000, kind: 'node_kill', target: 'node-3', for_ms: 10_000},
        {at_ms: 38_000, kind: 'node_pause', target: 'node-1', for_ms: 6_000},
        {
          at_ms: 50_000,
          kind: 'engine_crash',
          target: 'sk-west-2',
          for_ms: 12_000,
        },
        {at_ms: 50_000, kind: 'node_kill', target: 'sk-west-2', for_ms: 15_000},
      ],
    }),
    createTatranskaScenario('log', 17, {
      phases: [
        {durationMs: 60_000, load: 0.2, mix: {...ORDER_DESK_MIX, booking: 40}},
      ],
      repeatedKeys: 0.3,
      faults: [
        {at_ms: 8_000, kind: 'log_lost_reply', for_ms: 5},
        {at_ms: 15_000, kind: 'log_outage', for_ms: 12_000},
        {at_ms: 35_000, kind: 'partition', target: 'node-2', for_ms: 6_000},
        {at_ms: 40_000, kind: 'log_lost_reply', for_ms: 5},
        {at_ms: 45_000, kind: 'node_kill', target: 'node-4', for_ms: 8_000},
      ],
    }),
    createTatranskaScenario('lag', 18, {
      phases: [
        {durationMs: 8_000, load: 0.45, mix: ORDER_DESK_MIX},
        {durationMs: 28_000, load: 0.6, mix: CATALOGUE_MIX},
        {durationMs: 22_000, load: 0.6, mix: LETTER_MIX},
      ],
      reportLagMs: 5_000,
    }),
  ];
}

function listBoeiboordScenarios(): readonly Scenario[] {
  return [
    createBoeiboordScenario('swing', 21, {
      phases: [
        {durationMs: 10_000, load: 0.45, mix: QUOTE_DESK_MIX},
        {durationMs: 30_000, load: 0.7, mix: PRICE_LIST_MIX},
        {durationMs: 22_000, load: 0.7, mix: OFFER_MIX},
      ],
    }),
    createBoeiboordScenario('steady', 22, {
      phases: [{durationMs: 45_000, load: 0.45, mix: QUOTE_DESK_MIX}],
      burstiness: 0.4,
      bounds: {...LATENCY_BOUNDS, role_changes: {max: 0}},
    }),
    createBoeiboordScenario('prefix', 23, {
      phases: [
        {
          durationMs: 25_000,
          load: 0.4,
          mix: {
            price_list_shared: 60,
            price_lookup: 30,
            fascia_quote: 10,
            stock_order: 4,
          },
        },
      ],
    }),
    createBoeiboordScenario('overload', 24, {
      phases: [
        {durationMs: 8_000, load: 0.5, mix: QUOTE_DESK_MIX},
        {durationMs: 20_000, load: 1.5, mix: QUOTE_DESK_BULK_MIX},
        {durationMs: 8_000, load: 0.4, mix: QUOTE_DESK_MIX},
      ],
    }),
    createBoeiboordScenario('faults', 25, {
      phases: [{durationMs: 80_000, load: 0.2, mix: QUOTE_DESK_MIX}],
      repeatedKeys: 0.3,
      faults: [
        {
          at_ms: 10_000,
          kind: 'engine_leave',
          target: 'engine-07',
          for_ms: 20_000,
        },
        {at_ms: 25_000, kind: 'node_kill', target: 'node-2', for_ms: 10_000},
        {at_ms: 35_000, kind: 'log_outage', for_ms: 8_000},
        {at_ms: 50_000, kind: 'engine_crash', target: 'brugge', for_ms: 12_000},
        {at_ms: 55_000, kind: 'node_pause', target: 'node-1', for_ms: 8_000},
      ],
    }),
    createBoeiboordScenario('lag', 26, {
      phases: [
        {durationMs: 8_000, load: 0.45, mix: QUOTE_DESK_MIX},
        {durationMs: 28_000, load: 0.6, mix: PRICE_LIST_MIX},
        {durationMs: 22_000, load: 0.6, mix: OFFER_MIX},
      ],
      reportLagMs: 2_000,
    }),
  ];
}

interface ScenarioParts {
  readonly phases: readonly TracePhase[];
  readonly faults?: readonly TraceFault[];
  readonly burstiness?: number;
  readonly repeatedKeys?: number;
  readonly reportLagMs?: number;
  readonly bounds?: OutcomeBounds;
}

function createTatranskaScenario(
  name: string,
  seed: number,
  parts: ScenarioParts,
): Scenario {
  const roles: Role[] = [
    'prefill',
    'prefill',
    'prefill',
    'decode',
    'decode',
    'decode',
  ];
  return createScenario(`tatranska-${name}`, seed, parts, {
    deployment: 'Order Desk Routing Acceptance Checklist',
    domains: TATRANSKA_DOMAINS,
    roles,
    service: 'order-desk',
    serviceCount: 4,
    classes: TATRANSKA_CLASSES,
    weight: 'goodput',
  });
}

function createBoeiboordScenario(
  name: string,
  seed: number,
  parts: ScenarioParts,
): Scenario {
  return createScenario(`boeiboord-${name}`, seed, parts, {
    deployment: 'Boeiboord quote desk routing fleet',
    domains: BOEIBOORD_DOMAINS,
    roles: [],
    service: 'yard',
    serviceCount: 3,
    classes: BOEIBOORD_CLASSES,
    weight: 'few_changes',
  });
}

interface Deployment {
  readonly deployment: string;
  readonly domains: readonly string[];
  /** Roles of the first engines; the others are mixed. */
  readonly roles: readonly Role[];
  readonly service: string;
  readonly serviceCount: number;
  readonly classes: TraceSpec['classes'];
  readonly weight: TraceHeader['weight'];
}

function createScenario(
  name: string,
  seed: number,
  parts: ScenarioParts,
  deployment: Deployment,
): Scenario {
  const {domains} = deployment;
  const getDomain = (index: number): string => domains[index % domains.length];
  return {
    name,
    bounds: {...SAFETY_BOUNDS, ...parts.bounds},
    spec: {
      seed,
      classes: deployment.classes,
      phases: parts.phases,
      burstiness: parts.burstiness,
      repeatedKeys: parts.repeatedKeys,
      header: {
        trace: 1,
        deployment: deployment.deployment,
        engines: Array.from({length: ENGINE_COUNT}, (_, index) => ({
          id: `engine-${String(index + 1).padStart(2, '0')}`,
          failure_domain: getDomain(index),
          role: deployment.roles[index] ?? 'mixed',
          // Every third engine ignores fencing numbers.
          checks_fencing: index % 3 !== 0,
        })),
        services: Array.from({length: deployment.serviceCount}, (_, index) => ({
          id: `${deployment.service}-${index + 1}`,
          failure_domain: getDomain(index),
          service: deployment.service,
        })),
        nodes: 13,
        report_lag_ms: parts.reportLagMs ?? 500,
        role_change_ms: 4_000,
        faults: [...(parts.faults ?? [])],
        weight: deployment.weight,
      },
    },
  };
}

/** Fraction of the goodput bound that policy `anvilstack` should reach. */
const MIN_SHARE_OF_BOUND = 0.95;

/** Returns all bounds of a scenario; the one on goodput is a fraction of the trace's upper bound, rounded down to 4 digits. */
export function computeStatedBounds(
  scenario: Scenario,
  trace: Trace,
): OutcomeBounds {
  const {goodput} = computeGoodputBound(trace);
  const minGoodput = Math.floor(goodput * MIN_SHARE_OF_BOUND * 10_000) / 10_000;
  return {goodput: {min: minGoodput}, ...scenario.bounds};
}

/** Returns a scenario whose phases last `factor` times as long, for benchmarks. */
export function createLongScenario(
  scenario: Scenario,
  factor: number,
): Scenario {
  const {spec} = scenario;
  const phases = spec.phases.map(phase => ({
    ...phase,
    durationMs: phase.durationMs * factor,
  }));
  return {...scenario, spec: {...spec, phases}};
}
