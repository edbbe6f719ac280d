/**
 * Trials of docs/design/prompt_messages.md: callers' goodput, and datagrams, under several ways to
 * tell nodes of each other's prompts.
 * Run: npm run -s transpile && node build/js/bench/prompt_messages.bench.js [NODES...]
 */
import {runModel} from './prompt_messages_model';
import type {
  AnnouncementRule,
  ModelOptions,
  Policy,
} from './prompt_messages_types';

interface Trial {
  readonly name: string;
  readonly policy: Policy;
  readonly rule?: AnnouncementRule;
}

/** Home VMs are told of every prompt and its end: this costs two messages at most. */
const EVERYTHING: AnnouncementRule = {minPrefillMs: 0, assumesEnds: false};
const FROM_20_MS: AnnouncementRule = {minPrefillMs: 20, assumesEnds: true};

function createScopeTrial(localEngines: number, remoteEngines: number): Trial {
  return {
    name: `scope ${localEngines}+${remoteEngines}`,
    policy: {kind: 'scope', size: {localEngines, remoteEngines}},
  };
}

const TRIALS: readonly Trial[] = [
  {name: 'all nodes', policy: {kind: 'all'}},
  {name: 'all nodes, from 20 ms', policy: {kind: 'all'}, rule: FROM_20_MS},
  {name: 'nobody', policy: {kind: 'none'}},
  {
    name: 'batches of 30 ms',
    policy: {kind: 'batch', windowMs: 30},
    rule: FROM_20_MS,
  },
  {
    name: 'home VM, 4 reports/s',
    policy: {kind: 'home', reportMs: 250, isAsked: false},
    rule: EVERYTHING,
  },
  {
    name: 'home VM, asked',
    policy: {kind: 'home', reportMs: 250, isAsked: true},
    rule: EVERYTHING,
  },
  {...createScopeTrial(8, 4), name: 'scope 8+4, from 60 ms'},
  ...[createScopeTrial(4, 2), createScopeTrial(8, 4), createScopeTrial(12, 6)],
];
const CASES: ReadonlyArray<readonly [string, Partial<ModelOptions>]> = [
  ['load 1.0', {load: 1}],
  ['load 1.5', {load: 1.5}],
  ['a third is lost', {load: 1, losesDomain: true}],
  ['uneven, few engines', {load: 1.2, skew: 1.5, enginesPerNode: 0.15}],
];
const DURATION_MS = 10_000;
/** Runs of this many nodes are shorter and have one seed: at 300, all nodes are sent 10 million messages in a minute. */
const SHORT_RUN_NODES = 300;
const SHORT_DURATION_MS = 5_000;
/** Number of nodes from which announcements are limited. */
const LARGE_FLEET_NODES = 33;
const SEEDS = [1, 2];

const counts = process.argv.slice(2).map(Number);
for (const nodes of counts.length > 0 ? counts : [30, 100, 300]) {
  for (const [caseName, options] of CASES) {
    for (const trial of TRIALS) {
      const isShort = nodes >= SHORT_RUN_NODES;
      const results = (isShort ? SEEDS.slice(0, 1) : SEEDS).map(seed =>
        runModel({
          nodes,
          seed,
          durationMs: isShort ? SHORT_DURATION_MS : DURATION_MS,
          load: 1,
          policy: trial.policy,
          ...createRule(trial, nodes),
          ...options,
        }),
      );
      const [first] = results;
      const goodputs = results.map(result => result.goodput.toFixed(3));
      console.log(
        `| ${nodes} | ${caseName} | ${trial.name} | ${goodputs.join(' / ')} | ` +
          `${first.refused.toFixed(3)} | ${first.errorMs.toFixed(0)} | ` +
          `${first.cached.toFixed(2)} | ${first.messagesPerPrompt.toFixed(1)} | ` +
          `${first.busiestPerS.toFixed(0)} |`,
      );
    }
  }
}

/** Returns the rule of a trial; in small fleets everything is announced, and so it is to home VMs. */
function createRule(
  {name, policy, rule}: Trial,
  nodes: number,
): Pick<ModelOptions, 'rule'> {
  if (nodes < LARGE_FLEET_NODES) return {};
  if (rule !== undefined) return {rule};
  const isShort = policy.kind === 'scope' && !name.endsWith('60 ms');
  return isShort ? {rule: FROM_20_MS} : {};
}
