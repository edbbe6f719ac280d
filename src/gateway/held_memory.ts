/** What a process holds for callers and servers that read or write slowly, within its memory limit. */
import type {Logger} from '../diagnostics/log';
import {
  type AnswerBudget,
  type BodyBudget,
  computeMemoryLimits,
  createAnswerBudget,
  createBodyBudget,
  createReadTurns,
  NO_MEMORY_LIMITS,
  type ReadTurns,
  type UnreadReason,
} from '../memory';
import type {Clock, Timer} from '../runtime/types';
import type {GatewayMetrics} from './gateway_metrics';

/** The budgets of a process. */
export interface HeldMemory {
  readonly bodies: BodyBudget;
  /** Absent without a memory limit: answers then wait at their servers, and callers are never ended. */
  readonly answers?: AnswerBudget;
  /** Absent without a memory limit. */
  readonly turns: ReadTurns | undefined;
  /** Logs and counts a caller that was ended because it did not take its answer. */
  recordUnread(unread: UnreadAnswer): void;
  start(): void;
  stop(): void;
}

/** An answer whose caller was ended. */
export interface UnreadAnswer {
  readonly requestId: string;
  readonly reason: UnreadReason;
  readonly heldBytes: number;
  /** Time for which the caller had taken nothing, in milliseconds. */
  readonly unreadMs: number;
}

/** Options of the memory. */
export interface HeldMemoryOptions {
  /** Memory limit of the process, in MB; undefined when there is none. */
  readonly memoryMb: number | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Called once, when much is held for the first time. */
  readonly onPressure: () => void;
}

/** Interval at which callers are checked for progress, in milliseconds: short beside the time for which they may take nothing. */
const SWEEP_INTERVAL_MS = 500;
/** Part of a budget, and number of slow callers, from which on much is held. The buffers of the runtime grow before the budgets count them, so both are low. */
const PRESSURE_FRACTION = 0.05;
const PRESSURE_CALLERS = 8;

/** Creates the budgets. */
export function createHeldMemory(options: HeldMemoryOptions): HeldMemory {
  const {memoryMb, clock, metrics, logger} = options;
  const limits =
    memoryMb === undefined ? NO_MEMORY_LIMITS : computeMemoryLimits(memoryMb);
  const bodies = createBodyBudget({
    clock,
    limits,
    onRefused: metrics.recordBodyRefused,
  });
  const answers =
    memoryMb === undefined ? undefined : createAnswerBudget({clock, limits});
  let timer: Timer | undefined;
  let hasPressure = false;
  const turns = createReadTurns(setImmediate);
  return {
    turns:
      memoryMb === undefined
        ? undefined
        : {
            ...turns,
            submit: (receivedBytes, read) => {
              turns.submit(receivedBytes, read);
              checkPressure();
            },
          },
    bodies: {
      ...bodies,
      add: refuse => {
        checkPressure();
        return bodies.add(refuse);
      },
    },
    ...(answers === undefined
      ? {}
      : {
          answers: {
            ...answers,
            update: answer => {
              checkPressure();
              return answers.update(answer);
            },
          },
        }),
    recordUnread: ({reason, ...fields}) => {
      metrics.recordUnreadAnswer(reason);
      logger.log('info', 'caller does not take its answer', {
        ...fields,
        reason,
      });
    },
    start: () => {
      metrics.addGauge(
        'anvilstack_gateway_held_body_bytes',
        'Bytes of request bodies that are received or being sent to servers.',
        bodies.getHeldBytes,
      );
      if (answers === undefined) return;
      metrics.addGauge(
        'anvilstack_gateway_held_answer_bytes',
        'Bytes accounted for answers that their callers take slowly.',
        answers.getHeldBytes,
      );
      metrics.addGauge(
        'anvilstack_gateway_slow_callers',
        'Callers that take their answers slowly.',
        answers.count,
      );
      scheduleSweep(answers);
    },
    stop: () => timer?.cancel(),
  };

  function checkPressure(): void {
    if (hasPressure || memoryMb === undefined) return;
    const bodyPart = bodies.getHeldBytes() / limits.bodyBytes;
    const answerPart = (answers?.getHeldBytes() ?? 0) / limits.answerBytes;
    const isLow =
      Math.max(bodyPart, answerPart) < PRESSURE_FRACTION &&
      turns.count() + (answers?.count() ?? 0) < PRESSURE_CALLERS;
    if (isLow) return;
    hasPressure = true;
    logger.log('info', 'much memory is held for slow callers', {
      bodyBytes: bodies.getHeldBytes(),
      answerBytes: answers?.getHeldBytes(),
    });
    options.onPressure();
  }

  function scheduleSweep(budget: AnswerBudget): void {
    timer = clock.schedule(SWEEP_INTERVAL_MS, () => {
      budget.sweep();
      scheduleSweep(budget);
    });
  }
}
