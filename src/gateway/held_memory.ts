/** What a process holds for callers and servers that read or write slowly, within its memory limit. */
import type {Logger} from '../diagnostics/log';
import {
  type AnswerBudget,
  type BodyBudget,
  computeMemoryLimits,
  createAnswerBudget,
  createBodyBudget,
  NO_MEMORY_LIMITS,
  type UnreadReason,
} from '../memory';
import type {Clock, Timer} from '../runtime/types';
import type {GatewayMetrics} from './gateway_metrics';

/** The budgets of a process. */
export interface HeldMemory {
  readonly bodies: BodyBudget;
  /** Absent without a memory limit: answers then wait at their servers, and callers are never ended. */
  readonly answers?: AnswerBudget;
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
}

/** Interval at which callers are checked for progress, in milliseconds: short beside the time for which they may take nothing. */
const SWEEP_INTERVAL_MS = 500;

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
  return {
    bodies,
    ...(answers === undefined ? {} : {answers}),
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

  function scheduleSweep(budget: AnswerBudget): void {
    timer = clock.schedule(SWEEP_INTERVAL_MS, () => {
      budget.sweep();
      scheduleSweep(budget);
    });
  }
}
