/** A model of nodes that compete for prefill engines, on virtual time: accounts with uneven traffic, callers that try again. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createLogger} from '../../src/diagnostics/log';
import {
  Admission,
  chooseAdmission,
  computeRetryAfterMs,
  getFirstEventBudgetMs,
  MIN_RETRY_AFTER_MS,
} from '../../src/gateway/stream_admission';
import {RequestKind, type Route} from '../../src/gateway/types';
import {createWaitingPrompts} from '../../src/gateway/waiting_prompts';
import {createVirtualClock} from '../../src/runtime';
import {
  type AccountShares,
  computeSpreadRetryMs,
  createAccountShares,
} from '../../src/shares';

/** Options of a run. */
export interface OverloadOptions {
  readonly seed: number;
  /** False for the gateway without client accounts. */
  readonly hasAccounts: boolean;
  /** False when all messages between nodes about shares are lost. */
  readonly hasMessages?: boolean;
  /** True for prompts of equal work; otherwise it is distributed exponentially. */
  readonly isUniform?: boolean;
  readonly nodes?: number;
  readonly engines?: number;
  readonly accounts?: number;
  /** Offered work without retries, relative to the engines' capacity. */
  readonly load?: number;
  /** Exponent of the accounts' rates. */
  readonly zipf?: number;
  /** Account that sends `FLOOD_FACTOR` times its usual rate; none when negative. */
  readonly flooding?: number;
  /** Rank of an account. */
  readonly getRank?: (account: number) => number;
  readonly durationMs?: number;
  /** Fraction of callers that retry after 50 ms, whatever they were told. */
  readonly impatient?: number;
  /** False when nodes forget which callers they have refused. */
  readonly hasMemory?: boolean;
}

/** Requests of one account, without its callers' retries. */
export interface AccountResult {
  readonly account: string;
  readonly rank: number;
  readonly workMs: number;
  readonly sent: number;
  /** First events within the time that callers wait. */
  readonly served: number;
  /** First events within the objective, counted from the latest attempt. */
  readonly onTime: number;
}

interface Request {
  readonly key: string;
  readonly isPatient: boolean;
  readonly account: number;
  readonly workMs: number;
  readonly deadlineAtMs: number;
  readonly isCounted: boolean;
}

interface MutableResult extends AccountResult {
  workMs: number;
  sent: number;
  served: number;
  onTime: number;
}

const ROUTE: Route = {
  name: 'ask',
  host: 'desk.example',
  pathPrefix: '/ask/',
  kind: RequestKind.Stream,
  timeoutMs: 10_000,
  objectiveMs: 400,
  pauseObjectiveMs: 200,
  rank: 1,
  maxServers: 1,
  isResumable: false,
  services: [],
};
const SILENT_LOGGER = createLogger({node: 'model', write: () => undefined});
const FLOOD_FACTOR = 5;
/** How long a caller tries altogether, in milliseconds. */
const CALLER_PATIENCE_MS = 4_000;
const MEAN_WORK_MS = 60;
/** Time after the prefill up to the first event, in milliseconds. */
const FIRST_EVENT_MS = 15;
/** Requests sent before this time are not counted, in milliseconds. */
const WARM_UP_MS = 10_000;
const MAX_HOME_NODES = 4;
const IMPATIENT_RETRY_MS = 50;

/** Runs the model and returns the results by account. */
export async function runOverload(options: OverloadOptions) {
  const {nodes = 12, engines = 10, accounts = 78, load = 1.3} = options;
  const {zipf = 1, flooding = 5, durationMs = 40_000} = options;
  const hasMemory = options.hasAccounts && options.hasMemory !== false;
  const {getRank = () => 1, hasMessages = true, isUniform = false} = options;
  const generator = xoroshiro128plus(options.seed);
  const getRandom = () => uniformFloat64(generator);
  const clock = createVirtualClock();
  const engineFreeAtMs = Array.from({length: engines}, () => 0);
  const results = Array.from({length: accounts}, (_, index): MutableResult => ({
    account: `account-${index}`,
    rank: getRank(index),
    workMs: 0,
    sent: 0,
    served: 0,
    onTime: 0,
  }));
  const homes = results.map(() =>
    Array.from({length: 1 + Math.floor(getRandom() * MAX_HOME_NODES)}, () =>
      Math.floor(getRandom() * nodes),
    ),
  );
  const planBytes: number[] = [];
  /** Requests of callers that wait as told, and of those that do not. */
  const patient = {sent: 0, served: 0};
  const impatient = {sent: 0, served: 0};
  const fleet = Array.from({length: nodes}, (_, index) => createNode(index));
  const weights = results.map(
    (_, index) =>
      (index + 1) ** -zipf * (index === flooding ? FLOOD_FACTOR : 1),
  );
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
  const meanGapMs = MEAN_WORK_MS / (load * engines);
  scheduleArrival();
  await clock.runUntil(durationMs);
  return {results, planBytes, patient, impatient};

  /** Node `index`; the first five plan, and read reports that are up to 0.5 s old. */
  function createNode(index: number) {
    const reports: unknown[] = [];
    const shares: AccountShares = createAccountShares({
      nodeName: `node-${index}`,
      clock,
      logger: SILENT_LOGGER,
      hasAccounts: () => options.hasAccounts,
      tryCountPlannersBefore: () => (index < 5 ? index : undefined),
      listReports: () => reports,
      notify: plan => {
        planBytes.push(JSON.stringify(plan).length);
        for (const node of fleet) {
          if (hasMessages) node.shares.handlePlan(`node-${index}`, plan);
        }
      },
    });
    shares.start();
    if (index < 5 && hasMessages) scheduleReports();
    const waiting = createWaitingPrompts({
      clock,
      getRandom,
      countPeers: () => nodes - 1,
      countEngines: () => engines,
    });
    return {shares, waiting};

    function scheduleReports(): void {
      clock.schedule(500, () => {
        reports.length = 0;
        for (const node of fleet) {
          const report = node.shares.tryCreateReport();
          if (report !== undefined) reports.push(report);
        }
        scheduleReports();
      });
    }
  }

  function scheduleArrival(): void {
    clock.schedule(-Math.log(1 - getRandom()) * meanGapMs, () => {
      const nowMs = clock.getMonotonicMs();
      const request: Request = {
        key: String(nowMs),
        isPatient: !options.impatient || getRandom() >= options.impatient,
        account: chooseAccount(),
        workMs: isUniform
          ? MEAN_WORK_MS
          : -Math.log(1 - getRandom()) * MEAN_WORK_MS,
        deadlineAtMs: nowMs + CALLER_PATIENCE_MS,
        isCounted:
          nowMs > WARM_UP_MS && nowMs < durationMs - CALLER_PATIENCE_MS,
      };
      const result = results[request.account];
      if (request.isCounted) {
        result.sent++;
        (request.isPatient ? patient : impatient).sent++;
        result.workMs += request.workMs;
      }
      sendAttempt(request);
      scheduleArrival();
    });
  }

  function chooseAccount(): number {
    let rest = getRandom() * weightSum;
    const index = weights.findIndex(weight => (rest -= weight) < 0);
    return Math.max(0, index);
  }

  function sendAttempt(request: Request): void {
    const home = homes[request.account];
    const {shares, waiting} =
      fleet[home[Math.floor(getRandom() * home.length)]];
    const {account, rank} = results[request.account];
    const {workMs} = request;
    const receivedAtMs = clock.getMonotonicMs();
    const isOverShare =
      options.hasAccounts &&
      shares.tryGetExceeded({account, rank, workMs}) !== undefined;
    const known = hasMemory
      ? shares.told.tryTake({...request, account}, receivedAtMs)
      : undefined;
    const claim = {
      rank,
      hasWaited: known?.hasWaited === true,
      account: options.hasAccounts ? account : '',
      isOverShare,
    };
    if (options.hasAccounts) shares.recordArrival({account, rank, workMs});
    if (known !== undefined && known.lateMs < -1 && shares.isShort()) {
      retry(-known.lateMs);
      return;
    }
    const getTimes = () => ({
      route: ROUTE,
      elapsedMs: clock.getMonotonicMs() - receivedAtMs,
      remainingMs: request.deadlineAtMs - clock.getMonotonicMs(),
    });
    if (tryStart()) return;
    shares.recordShortage();
    const budgetMs = getFirstEventBudgetMs(getTimes());
    const waitMs = waiting.predictWaitMs(
      options.hasAccounts ? claim : undefined,
    );
    if (waitMs > budgetMs) {
      refuse(waitMs);
      return;
    }
    waiting.add({
      ...claim,
      workMs,
      expiresAtMs: receivedAtMs + budgetMs,
      tryStart,
      onExpired: () => refuse(ROUTE.objectiveMs),
    });

    function tryStart(): boolean {
      const nowMs = clock.getMonotonicMs();
      const freeAtMs = Math.min(...engineFreeAtMs);
      const waitMs = Math.max(0, freeAtMs - nowMs);
      const admission = chooseAdmission({
        ...getTimes(),
        waitMs,
        workMs: workMs + FIRST_EVENT_MS,
        isOverShare,
      });
      if (admission === Admission.Wait) return false;
      if (admission === Admission.Refuse) {
        refuse(waitMs + workMs);
        return true;
      }
      if (hasMemory && waiting.mustYield(claim)) return false;
      shares.recordStart(workMs);
      const endMs = nowMs + waitMs + workMs;
      engineFreeAtMs[engineFreeAtMs.indexOf(freeAtMs)] = endMs;
      recordServed(endMs + FIRST_EVENT_MS - receivedAtMs);
      return true;
    }

    function recordServed(elapsedMs: number): void {
      if (!request.isCounted) return;
      const result = results[request.account];
      result.served++;
      (request.isPatient ? patient : impatient).served++;
      if (elapsedMs <= ROUTE.objectiveMs) result.onTime++;
    }

    function refuse(predictedMs: number): void {
      const remainingMs = request.deadlineAtMs - clock.getMonotonicMs();
      const retryAfterMs = options.hasAccounts
        ? computeSpreadRetryMs({
            predictedMs,
            remainingMs,
            minMs: MIN_RETRY_AFTER_MS,
            random: getRandom(),
          })
        : Math.min(computeRetryAfterMs(ROUTE, predictedMs), remainingMs / 3);
      const nowMs = clock.getMonotonicMs();
      if (hasMemory) {
        shares.told.record({...request, account}, retryAfterMs, nowMs);
      }
      retry(retryAfterMs);
    }

    function retry(retryAfterMs: number): void {
      const remainingMs = request.deadlineAtMs - clock.getMonotonicMs();
      const waitMs = request.isPatient
        ? Math.min(retryAfterMs, remainingMs / 3)
        : IMPATIENT_RETRY_MS;
      if (remainingMs - waitMs < workMs) return;
      clock.schedule(waitMs, () => sendAttempt(request));
    }
  }
}

/** Summary of a run; fractions of requests. */
export function computeSummary(results: readonly AccountResult[]) {
  const fractions = results
    .filter(({sent}) => sent > 0)
    .map(({served, sent}) => served / sent)
    .sort((left, right) => left - right);
  const worst = fractions.slice(0, Math.ceil(fractions.length / 10));
  const sent = collectSum(results, 'sent');
  return {
    served: collectSum(results, 'served') / sent,
    onTime: collectSum(results, 'onTime') / sent,
    accountMean: fractions.reduce((sum, x) => sum + x, 0) / fractions.length,
    worstTenth: worst.reduce((sum, x) => sum + x, 0) / worst.length,
    worst: fractions[0],
  };
}

function collectSum(
  results: readonly AccountResult[],
  field: 'sent' | 'served' | 'onTime',
): number {
  return results.reduce((sum, result) => sum + result[field], 0);
}
