/** A model of nodes whose callers compete for the slots of a plain service, on virtual time. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createServiceTimes} from '../../src/capacity';
import {createLogger} from '../../src/diagnostics/log';
import {createGatewayMetrics} from '../../src/gateway/gateway_metrics';
import type {RequestTask} from '../../src/gateway/request_task';
import {createServiceShare} from '../../src/gateway/service_share';
import type {BackendEntry} from '../../src/gateway/types';
import {createVirtualClock} from '../../src/runtime';
import {createAccountShares, type ShareReport} from '../../src/shares';

const NODES = 12;
const ACCOUNTS = 78;
const SLOTS = 6;
const ANSWER_MS = 40;
const PATIENCE_MS = 3_000;
const FLOODING = 5;
const DURATION_MS = 60_000;
const WARM_UP_MS = 15_000;

/** Options of a run. */
export interface ServiceOptions {
  readonly seed: number;
  readonly hasAccounts: boolean;
  /** Offered requests without retries, relative to what the servers can answer. */
  readonly load: number;
  readonly hasMessages?: boolean;
  /** Requests per second that each server allows, stated in its answers. */
  readonly limitPerS?: number;
}

/** Runs the model; returns what each account sent and what was served of it, without retries. */
export async function runService(options: ServiceOptions) {
  const generator = xoroshiro128plus(options.seed);
  const getRandom = () => uniformFloat64(generator);
  const clock = createVirtualClock();
  const metrics = createGatewayMetrics();
  const logger = createLogger({node: 'model', write: () => undefined});
  const servers = ['s-1', 's-2', 's-3'].map(id => ({
    entry: {id, maxRunning: SLOTS} as unknown as BackendEntry,
    openCount: 0,
    recentTimes: [] as number[],
  }));
  const weights = Array.from(
    {length: ACCOUNTS},
    (_, index) => (index === FLOODING ? 5 : 1) / (index + 1),
  );
  const results = weights.map(() => ({sent: 0, served: 0}));
  const homes = results.map(() => [getRandom(), getRandom(), getRandom()]);
  const fleet = Array.from({length: NODES}, (_, index) => createNode(index));
  const slotRate = SLOTS / ANSWER_MS;
  const rate =
    servers.length * Math.min(slotRate, (options.limitPerS ?? 1e9) / 1_000);
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
  scheduleArrival();
  await clock.runUntil(DURATION_MS);
  return results;

  function createNode(index: number) {
    const reports: ShareReport[] = [];
    const shares = createAccountShares({
      nodeName: `node-${index}`,
      clock,
      logger,
      hasAccounts: () => options.hasAccounts,
      tryCountPlannersBefore: () => (index < 5 ? index : undefined),
      listReports: () => reports,
      notify: plan => {
        for (const node of options.hasMessages === false ? [] : fleet) {
          node.shares.handlePlan(`node-${index}`, plan);
        }
      },
    });
    const times = createServiceTimes({clock, countPeers: () => NODES - 1});
    shares.start();
    if (index < 5 && options.hasMessages !== false) {
      clock.schedule(500, collectReports);
    }
    return {shares, times};

    function collectReports(): void {
      reports.length = 0;
      for (const node of fleet) {
        reports.push(...[node.shares.tryCreateReport() ?? []].flat());
      }
      clock.schedule(500, collectReports);
    }
  }

  function scheduleArrival(): void {
    const gapMs = -Math.log(1 - getRandom()) / (options.load * rate);
    clock.schedule(gapMs, () => {
      let rest = getRandom() * weightSum;
      const found = weights.findIndex(weight => (rest -= weight) < 0);
      const nowMs = clock.getMonotonicMs();
      const isCounted = nowMs > WARM_UP_MS && nowMs < DURATION_MS - PATIENCE_MS;
      sendAttempt(Math.max(0, found), nowMs + PATIENCE_MS, isCounted);
      if (isCounted) results[Math.max(0, found)].sent++;
      scheduleArrival();
    });
  }

  function sendAttempt(account: number, untilMs: number, isCounted: boolean) {
    const home = homes[account][Math.floor(getRandom() * 3)];
    const {shares, times} = fleet[Math.floor(home * NODES)];
    const task = {
      service: 'app',
      route: {name: 'look'},
      rank: 1,
      account: {name: `account-${account}`},
      hasAccounts: () => options.hasAccounts,
      getRemainingMs: () => untilMs - clock.getMonotonicMs(),
      log: () => undefined,
      fail: (_: unknown, reason: string, retryAfterMs: number) =>
        retry(retryAfterMs),
    } as unknown as RequestTask;
    const isLimited = () => options.limitPerS !== undefined;
    const share = createServiceShare(
      {shares, serviceTimes: times, metrics, getRandom},
      task,
      {
        computeLoad: ({id}) => (times.estimateFleetOpen(id) + 1) / SLOTS,
        isLimited,
      },
    );
    const nowMs = clock.getMonotonicMs();
    const open = servers.filter(({recentTimes}) => {
      while (recentTimes[0] < nowMs - 1_000) recentTimes.shift();
      return recentTimes.length < (options.limitPerS ?? Infinity);
    });
    if (share.tryRefuse(open.map(({entry}) => entry))) return;
    const [server] = [...open].sort(
      (a, b) => a.openCount - b.openCount || getRandom() - 0.5,
    );
    if (server === undefined || server.openCount >= SLOTS) {
      share.recordShortage();
      retry(250 * (0.5 + getRandom()));
      return;
    }
    const {id} = server.entry;
    server.openCount++;
    server.recentTimes.push(nowMs);
    times.recordStart(id);
    clock.schedule(ANSWER_MS, () => {
      server.openCount--;
      times.recordEnd(id);
      share.recordRun();
      if (isCounted) results[account].served++;
    });

    function retry(afterMs: number): void {
      const leftMs = untilMs - clock.getMonotonicMs();
      const waitMs = Math.min(afterMs, leftMs / 3);
      if (leftMs - waitMs < ANSWER_MS) return;
      clock.schedule(waitMs, () => sendAttempt(account, untilMs, isCounted));
    }
  }
}
