/** Replays one day of 100,000 requests and prints how long the replay takes in real time. */
import {createTrace, listScenarios, replayTrace} from '../src/replay';

const DAY_MS = 86_400_000;
const WANTED_REQUESTS = 100_000;

const scenario = listScenarios().find(item => item.name === 'tatranska-steady');
if (scenario === undefined) throw new Error('no scenario tatranska-steady');
const {spec} = scenario;
const [phase] = spec.phases;
const probe = createTrace(spec);
const perMs = probe.requests.length / phase.durationMs;
const load = (phase.load * WANTED_REQUESTS) / (perMs * DAY_MS);
const trace = createTrace({
  ...spec,
  phases: [{...phase, load, durationMs: DAY_MS}],
});
const startedAtMs = performance.now();
const {outcome} = await replayTrace(trace);
const tookS = (performance.now() - startedAtMs) / 1_000;
console.log(
  `${outcome.requests} requests of a day replayed in ${tookS.toFixed(1)} s, goodput ${outcome.goodput}`,
);
