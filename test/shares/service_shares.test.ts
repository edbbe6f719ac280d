/** Tests the shares of plain services, in the model and in their parts. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {hasRoomOverShare} from '../../src/gateway/service_share';
import type {BackendEntry} from '../../src/gateway/types';
import {isSharePlan, isShareReport} from '../../src/shares/check_shares';
import {runService, type ServiceOptions} from './service_model';

async function runBoth(options: Omit<ServiceOptions, 'hasAccounts'>) {
  const run = async (hasAccounts: boolean) => {
    const results = await runService({...options, hasAccounts});
    const sent = results.reduce((sum, item) => sum + item.sent, 0);
    const served = results.reduce((sum, item) => sum + item.served, 0) / sent;
    const used = results.filter(item => item.sent > 0);
    const light = used.filter(item => item.sent < sent / results.length);
    const getWorst = (items: typeof used) =>
      Math.min(...items.map(item => item.served / item.sent));
    return {served, worst: getWorst(used), worstLight: getWorst(light)};
  };
  return {before: await run(false), after: await run(true)};
}

// Guards against one account that takes the slots of a plain service from the others.
test('accounts that exceed their share of full servers are refused first', async () => {
  for (const seed of [1, 2]) {
    const {before, after} = await runBoth({seed, load: 1.3});
    assert.ok(before.worstLight < 0.75);
    assert.ok(after.worstLight >= 0.95);
    assert.ok(after.worst >= after.served / 4);
    assert.ok(after.served > before.served - 0.03);
  }
});

// Guards against a minimum that does not hold at a high overload, or for servers that state a limit.
test('no account is served to less than a quarter of the whole', async () => {
  const double = await runBoth({seed: 1, load: 2});
  assert.ok(double.after.worst >= double.after.served / 4);
  assert.ok(double.after.worstLight > double.before.worstLight + 0.2);
  const limited = await runBoth({seed: 1, load: 1.3, limitPerS: 30});
  assert.ok(limited.after.worst >= limited.after.served / 4);
  assert.ok(limited.after.worstLight >= 0.95);
});

// Guards against refusals while there is room.
test('requests beyond a share are sent to a server with a free slot and no limit', () => {
  const servers = [{id: 'a'}, {id: 'b'}] as BackendEntry[];
  const hasRoom = (loads: Record<string, number>, limited = '') =>
    hasRoomOverShare(servers, {
      computeLoad: ({id}) => loads[id],
      isLimited: ({id}) => limited.includes(id),
    });
  assert.equal(hasRoom({a: 1.2, b: 1}), true);
  assert.equal(hasRoom({a: 1.2, b: 1.1}), false);
  assert.equal(hasRoom({a: 1.2, b: 0.5}, 'b'), false);
});

// Guards against malformed or endless lists from the network.
test('the services in reports and plans are checked', () => {
  const works = {accounts: [], rest: [], startedMs: 1, isShort: true};
  const plan = {shares: [], arrivedMs: 2, startedMs: 1};
  const list = (part: object, count: number) =>
    Array.from({length: count}, () => part);
  for (const [isValid, base] of [
    [isShareReport, works],
    [isSharePlan, plan],
  ] as const) {
    const part = {...base, service: 'app'};
    assert.ok(isValid({...base, services: list(part, 3)}));
    assert.ok(!isValid({...base, services: list(part, 4)}));
    assert.ok(!isValid({...base, services: list(base, 1)}));
    assert.ok(!isValid({...base, services: [{service: 'app'}]}));
    assert.ok(!isValid({...base, services: part}));
  }
});
