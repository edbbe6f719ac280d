/**
 * Counts the causes of failed requests of a scenario in intervals of five seconds, and prints
 * the events of requests that were cut off.
 * Usage: replay_failures.bench.js NAME
 */
import {createTrace, listScenarios, replayTrace} from '../src/replay';

const [name] = process.argv.slice(2);
const scenario = listScenarios().find(item => item.name === name);
if (scenario === undefined) throw new Error('usage: NAME');
const {timeline} = await replayTrace(createTrace(scenario.spec), {
  settings: {withTimeline: true},
});
const counts = new Map<string, number>();
for (const event of timeline) {
  if (event.kind !== 'caller-failed') {
    if (event.kind.startsWith('fault'))
      console.log(event.atMs, event.kind, event.cause);
    continue;
  }
  const key = `${Math.floor(event.atMs / 5_000) * 5} s: ${event.cause}`;
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
for (const [key, count] of counts) console.log(count, key);
for (const cut of timeline) {
  if (cut.kind !== 'caller-failed' || !cut.cause.includes('cut')) continue;
  const id = cut.requestId?.replace(/\.\d+$/, '.');
  for (const event of timeline) {
    if (event.requestId?.startsWith(id ?? '?') === true) {
      console.log(
        event.atMs,
        event.node,
        event.kind,
        event.requestId,
        event.engine ?? '',
        event.cause,
      );
    }
  }
}
