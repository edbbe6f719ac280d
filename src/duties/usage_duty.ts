/** Assembles the counting, gathering and reporting of usage at one node. */
import type {Logger} from '../diagnostics/log';
import type {Clock, Timer} from '../runtime/types';
import {createFleetTime} from './fleet_time';
import type {Authority, DutyClient, UsageStore} from './types';
import {createUsageCollector} from './usage_collector';
import {createUsageLedger} from './usage_ledger';
import {
  isUsageMessage,
  type UsageMessage,
  type UsagePeerMessage,
} from './usage_messages';
import {createUsageMeter} from './usage_meter';
import {createUsageReceivers} from './usage_receivers';
import {createUsageReporter, type UsageOutcome} from './usage_reporter';
import {createUsageSender} from './usage_sender';
import {chooseWindowStep, type WindowStep} from './usage_timing';
import {createUsageWindows} from './usage_windows';

/** The usage duty of one node. */
export interface UsageDuty {
  start(): void;
  /** Counts a request of an account that has just begun to run at a server; requests without an account are not counted. */
  recordStart(account: string | undefined): void;
  handle(message: UsagePeerMessage): void;
  /** Returns the number of windows that have ended and are not known to be reported. */
  countOpenWindows(): number;
  /** Announces to the receivers that this process is about to end, with its last counts; datagrams may be lost, so it may be called more than once. */
  sendLast(): void;
  stop(): void;
}

/** Options of the duty. */
export interface UsageDutyOptions {
  readonly nodeName: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly authority: Authority;
  readonly client: Pick<DutyClient, 'sendUsage'>;
  readonly store: UsageStore;
  /** Length of a window, in milliseconds. */
  readonly windowMs: number;
  /** Time after a window's end within which its report is due, in milliseconds. */
  readonly dueMs: number;
  /** Lists the names of the other nodes. */
  readonly listNames: () => readonly string[];
  readonly send: (nodeName: string, message: UsagePeerMessage) => void;
  /** Sends a message to all other nodes. */
  readonly notify: (message: UsagePeerMessage) => void;
  readonly getRandom: () => number;
  /** Number of times that the store has lost records. */
  readonly getEra?: () => number;
  readonly onOutcome?: (outcome: UsageOutcome) => void;
}

/** Interval at which counts and reports that are due are sent, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** Windows without counts after which a node is taken for gone; each node sends counts of every window. */
const HEARING_WINDOWS = 2.2;
/** Windows around the current one of which counts are taken. */
const MAX_WINDOW_DISTANCE = 10;

/** Creates the duty. */
export function createUsageDuty(options: UsageDutyOptions): UsageDuty {
  const {nodeName, clock, windowMs, dueMs, getRandom} = options;
  const incarnation = `${Math.round(clock.getWallMs())}-${Math.floor(getRandom() * 2 ** 32)}`;
  const time = createFleetTime(clock);
  const meter = createUsageMeter({clock, time, windowMs});
  const collector = createUsageCollector({
    clock,
    hearingMs: HEARING_WINDOWS * windowMs,
  });
  const receivers = createUsageReceivers({
    nodeName,
    clock,
    listNames: options.listNames,
  });
  const sender = createUsageSender({
    nodeName,
    incarnation,
    clock,
    time,
    meter,
    receivers,
    windowMs,
    dueMs,
    countNodes: () => options.listNames().length,
    getRandom,
    send: sendCounts,
  });
  const windows = createUsageWindows({
    getTimeMs: time.getTimeMs,
    windowMs,
    dueMs,
  });
  const reporter = createUsageReporter({
    nodeName,
    clock,
    logger: options.logger,
    authority: options.authority,
    client: options.client,
    ledger: createUsageLedger(options.store),
    windows,
    getEra: options.getEra ?? (() => 0),
    chooseStep,
    computeSums: collector.computeSums,
    listIncomplete: collector.listIncomplete,
    isReceiver,
    notify: (message, toAll) => {
      if (toAll) options.notify(message);
      else forEachReceiver(name => options.send(name, message));
    },
    onOutcome: options.onOutcome ?? (() => undefined),
  });
  const firstWindow = windows.getCurrent();
  let timer: Timer | undefined;
  return {
    start: check,
    recordStart: account => {
      if (account !== undefined) meter.recordStart(account);
    },
    handle,
    countOpenWindows: windows.countOpen,
    sendLast: sender.sendLast,
    stop: () => timer?.cancel(),
  };

  function check(): void {
    timer = clock.schedule(CHECK_INTERVAL_MS, check);
    sender.sendDue();
    reporter.reportDue();
    collector.expire(windows.getCurrent() - MAX_WINDOW_DISTANCE);
  }

  function sendCounts(name: string, message: UsageMessage): void {
    if (name === nodeName) handleCounts(message);
    else options.send(name, message);
  }

  function handle(message: UsagePeerMessage): void {
    if (!isUsageMessage(message) || message.from === nodeName) return;
    switch (message.kind) {
      case 'usage':
        time.recordSample(message.from, message.wallMs);
        handleCounts(message);
        return;
      case 'usage-ack':
        time.recordSample(message.from, message.timeMs);
        sender.handleAck(message);
        return;
      case 'usage-done':
        reporter.handleDone(message);
    }
  }

  function handleCounts(message: UsageMessage): void {
    const {from, windowId} = message;
    const distance = Math.abs(windowId - windows.getCurrent());
    // A node whose clock is far off gets an answer too, because it states the time.
    const received =
      distance <= MAX_WINDOW_DISTANCE
        ? collector.add(message)
        : {total: 0, isFinal: false};
    const ack = {
      kind: 'usage-ack',
      from: nodeName,
      incarnation: message.incarnation,
      windowId,
      ...received,
      timeMs: time.getTimeMs(),
    } as const;
    if (from === nodeName) sender.handleAck(ack);
    else options.send(from, ack);
  }

  function chooseStep(windowId: number): WindowStep {
    const heard = collector.listHeard();
    return chooseWindowStep({
      elapsedMs: windows.getElapsedMs(windowId),
      dueMs,
      isReceiver: isReceiver(),
      missingCount: collector.listIncomplete(windowId).length,
      heardCount: heard.length,
      knownCount: options.listNames().length + 1,
      earlierCount: heard.filter(name => name < nodeName).length,
      isNew: windowId <= firstWindow,
    });
  }

  function isReceiver(): boolean {
    return receivers.list().includes(nodeName);
  }

  function forEachReceiver(call: (name: string) => void): void {
    for (const name of receivers.list()) {
      if (name !== nodeName) call(name);
    }
  }
}
