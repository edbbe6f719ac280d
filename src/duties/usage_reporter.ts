/** Reports each window once: writes its record to the store, then sends it to the platform, by a grant of authority. */
import type {Logger} from '../diagnostics/log';
import type {Clock} from '../runtime/types';
import type {
  Authority,
  DutyClient,
  DutyFailure,
  Grant,
  UsageRecord,
} from './types';
import {createDutyGrant} from './duty_grant';
import {createUsageDone} from './usage_done';
import type {UsageLedger} from './usage_ledger';
import type {UsageDoneMessage} from './usage_messages';
import {WindowStep} from './usage_timing';
import type {UsageWindows} from './usage_windows';

/** Reports windows. */
export interface UsageReporter {
  /** Reports the windows that are due; called several times per second. */
  reportDue(): void;
  /** Records that another node reported windows. */
  handleDone(message: UsageDoneMessage): void;
}

/** Outcome of a window at one node. */
export type UsageOutcome = 'reported' | 'repeated' | 'missed' | 'skipped';

/** Options of the reporter. */
export interface UsageReporterOptions {
  readonly nodeName: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly authority: Authority;
  readonly client: Pick<DutyClient, 'sendUsage'>;
  readonly ledger: UsageLedger;
  readonly windows: UsageWindows;
  /** Number of times that the store has lost records. */
  readonly getEra: () => number;
  readonly chooseStep: (windowId: number) => WindowStep;
  readonly computeSums: (windowId: number) => Readonly<Record<string, number>>;
  /** Lists the nodes whose counts of a window are not complete, for the log. */
  readonly listIncomplete: (windowId: number) => readonly string[];
  /** True when this node receives the other nodes' counts. */
  readonly isReceiver: () => boolean;
  /** Sends a message to all nodes, or only to those that may take over. */
  readonly notify: (message: UsageDoneMessage, toAll: boolean) => void;
  readonly onOutcome: (outcome: UsageOutcome) => void;
}

/** Delay before the next attempt after a denial or a failure, in milliseconds. */
const RETRY_MS = 250;
/** Delay after the platform refused a call as one too many, in milliseconds. */
const LIMITED_RETRY_MS = 1_100;
/** Delay after which the message is repeated, in milliseconds. A node that misses both asks the store for authority. */
const REPEAT_DONE_MS = 400;

/** Creates a reporter. */
export function createUsageReporter(
  options: UsageReporterOptions,
): UsageReporter {
  const {clock, logger, ledger, windows} = options;
  let hasLoaded = false;
  let isReporting = false;
  let lastHolder: string | undefined;
  let era = options.getEra();
  /** Windows before this one may have had a record that the store lost. */
  let doubtedBefore = 0;
  const grant = createDutyGrant({
    authority: options.authority,
    clock,
    logger,
    onGranted: latest => options.notify(createDone(latest), false),
  });
  return {reportDue, handleDone};

  function reportDue(): void {
    ledger.expire(windows.advance());
    if (isReporting) return;
    const windowId = tryChooseWindow();
    if (windowId === undefined) return;
    isReporting = true;
    void reportWindow(windowId)
      .catch((error: unknown) => scheduleRetry(windowId, String(error)))
      .finally(() => {
        isReporting = false;
      });
  }

  /** Returns the oldest window that this node is to report now. */
  function tryChooseWindow(): number | undefined {
    const nowMs = clock.getMonotonicMs();
    for (const windowId of windows.listOpen()) {
      const step = options.chooseStep(windowId);
      if (step === WindowStep.Drop) expireWindow(windowId);
      if (step !== WindowStep.Report) continue;
      if (nowMs >= windows.getNextAtMs(windowId)) return windowId;
    }
    return undefined;
  }

  async function reportWindow(windowId: number): Promise<void> {
    const acquired = await grant.tryGet();
    if (acquired.err) {
      const {reason, message} = acquired.val;
      scheduleRetry(windowId, `authority: ${reason}: ${message}`);
      return;
    }
    applyEra();
    if (!(await loadRecords(windowId))) return;
    if (removeDoubted(windowId, ledger.tryFind(windowId) !== undefined)) return;
    const written = await ledger.writeOnce({
      windowId,
      counts: options.computeSums(windowId),
      fencingNumber: acquired.val.fencingNumber,
    });
    if (written.err) {
      scheduleRetry(windowId, `store: ${written.val.message}`);
      return;
    }
    // The store may have lost the window's record just before it took this one.
    if (applyEra() && removeDoubted(windowId, false)) return;
    await sendRecord(written.val, acquired.val);
  }

  /** Reads the records when this node reports for the first time, and opens windows that have one: their reports may not have arrived. */
  async function loadRecords(windowId: number): Promise<boolean> {
    const loaded = await ledger.load();
    if (loaded.err) {
      scheduleRetry(windowId, `store: ${loaded.val.message}`);
      return false;
    }
    if (hasLoaded) return true;
    hasLoaded = true;
    for (const record of loaded.val) windows.addRecorded(record.windowId);
    return true;
  }

  async function sendRecord(record: UsageRecord, held: Grant): Promise<void> {
    const {windowId, counts} = record;
    const {fencingNumber, isValid} = held;
    const isRepeat = record.fencingNumber !== fencingNumber;
    const answer = await options.client.sendUsage(
      {windowId, counts},
      {holder: options.nodeName, fencingNumber, isValid},
    );
    if (answer.err) {
      handleFailure(windowId, answer.val);
      return;
    }
    grant.recordSuccess();
    logger.log('info', 'usage window reported', {
      windowId,
      accounts: Object.keys(counts).length,
      requests: Object.values(counts).reduce((sum, count) => sum + count, 0),
      incompleteNodes: options.listIncomplete(windowId),
      elapsedMs: Math.round(windows.getElapsedMs(windowId)),
      fencingNumber,
      recordNumber: record.fencingNumber,
    });
    windows.recordDone(windowId);
    options.onOutcome(isRepeat ? 'repeated' : 'reported');
    lastHolder = options.nodeName;
    const done = () => options.notify(createDone(held), true);
    done();
    clock.schedule(REPEAT_DONE_MS, done);
  }

  function handleFailure(windowId: number, failure: DutyFailure): void {
    const {kind, message} = failure;
    const delayMs = kind === 'limited' ? LIMITED_RETRY_MS : RETRY_MS;
    scheduleRetry(windowId, `platform: ${kind}: ${message}`, delayMs);
    grant.recordFailure(failure);
  }

  function scheduleRetry(
    windowId: number,
    problem: string,
    delayMs = RETRY_MS,
  ): void {
    const nextAtMs = clock.getMonotonicMs() + delayMs;
    if (!windows.recordProblem(windowId, problem, nextAtMs)) return;
    logger.log('info', 'usage window not reported yet', {
      windowId,
      problem,
      elapsedMs: Math.round(windows.getElapsedMs(windowId)),
    });
  }

  function expireWindow(windowId: number): void {
    if (options.isReceiver()) {
      logger.log('warn', 'usage window not known to be reported in time', {
        windowId,
        problem:
          windows.tryGetProblem(windowId) ??
          'no node stated that it was reported',
        incompleteNodes: options.listIncomplete(windowId),
      });
      options.onOutcome('missed');
    }
    windows.remove(windowId);
  }

  function handleDone(message: UsageDoneMessage): void {
    options.authority.recordGrant(message.fencingNumber);
    if (message.windowIds.length === 0) return;
    lastHolder = message.from;
    for (const windowId of message.windowIds) windows.recordDone(windowId);
    const newest = Math.max(...message.windowIds);
    const isOpenBefore = windows.listOpen().some(id => id < newest);
    const {endOffset} = message;
    if (isOpenBefore || endOffset === undefined) return;
    if (message.era === options.getEra()) ledger.recordEnd(endOffset);
  }

  function createDone({fencingNumber}: Grant): UsageDoneMessage {
    const {nodeName} = options;
    return createUsageDone({nodeName, windows, ledger, era, fencingNumber});
  }

  /** Returns whether the store has lost records since the last call. */
  function applyEra(): boolean {
    const latest = options.getEra();
    if (latest === era) return false;
    era = latest;
    doubtedBefore = windows.getCurrent();
    ledger.handleStoreLoss();
    return true;
  }

  /** Leaves out a window without a record that another node may have reported by a record that the store has lost: a second report could state other counts. */
  function removeDoubted(windowId: number, hasRecord: boolean): boolean {
    const isDoubted =
      windowId < doubtedBefore && lastHolder !== options.nodeName;
    if (hasRecord || !isDoubted) return false;
    logger.log(
      'warn',
      'usage window skipped: the store may have lost its record',
      {windowId, lastHolder},
    );
    windows.recordDone(windowId);
    options.onOutcome('skipped');
    return true;
  }
}
