/**
 * Asks engines whose answer is late for their report. A prediction of this node
 * says nothing about an engine; only a report, or a failure to give one, does.
 */
import type {Logger} from '../diagnostics/log';
import type {Clock} from '../runtime/types';
import type {Connections} from './connections';
import {sendControlCall, type ControlResponse} from './control_call';
import type {GatewayMetrics} from './gateway_metrics';
import {parseReportAnswer, ReportedProcess} from './reported_process';
import type {HealthTracker} from './server_health';
import type {ServerLimits} from './server_limits';
import type {ServerPauses} from './server_pauses';
import type {BackendEntry, BackendProtocol} from './types';

/** What the attempt to get a report has shown. */
export const Liveness = {
  Alive: 'alive',
  /** Another process answers in the engine's place, so a call to the former one is lost. */
  Replaced: 'replaced',
  Silent: 'silent',
  /** The engine could not be asked, or this process was held up while it waited for the report. */
  Unknown: 'unknown',
} as const;
export type Liveness = (typeof Liveness)[keyof typeof Liveness];

/** The outcome of a check. */
export interface LivenessCheck {
  readonly state: Liveness;
  /** Number of requests that wait at the engine, where its report states it. */
  readonly waitingCount?: number;
}

/** Checks of engines, and the calls of this node that they completed. */
export interface EngineLiveness {
  /** Asks for the report of an engine, or returns the outcome of a question that was asked a moment ago. */
  check(server: BackendEntry): Promise<LivenessCheck>;
  /** Records that an engine has completed a call of this node. */
  recordCompletion(serverId: string): void;
  /** True when the engine has completed a call of this node since a time on the monotonic clock, in milliseconds. */
  hasCompletedSince(serverId: string, sinceMs: number): boolean;
  remove(serverId: string): void;
}

/** Options of the checks. */
export interface EngineLivenessOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<GatewayMetrics, 'recordLivenessCheck'>;
  readonly connections: Pick<Connections, 'call'>;
  readonly protocol: Pick<BackendProtocol, 'buildReportCall' | 'parseReport'>;
  readonly health: Pick<HealthTracker, 'recordResponse'>;
  readonly pauses: Pick<ServerPauses, 'isPaused'>;
  readonly limits: Pick<ServerLimits, 'isLimited'>;
}

interface Question {
  readonly askedAtMs: number;
  readonly outcome: Promise<LivenessCheck>;
  /** True until the call has ended, which may be after the outcome is decided. */
  isOpen: boolean;
}

/** Minimum interval between two questions of this node to one engine, in milliseconds. */
const MIN_INTERVAL_MS = 500;
/**
 * An engine is silent after this number of ticks without a report, 300 ms in
 * all: a report takes a round trip of some milliseconds. A process that is
 * held up runs its timers before it reads what has arrived meanwhile, which
 * costs one tick here instead of the whole time.
 */
const SILENT_TICKS = 6;
const TICK_MS = 50;
/** Time after which the call is given up, in milliseconds; the ticks decide before, unless this process was held up. */
const CALL_TIMEOUT_MS = 1_000;

const UNKNOWN: LivenessCheck = {state: Liveness.Unknown};
const SILENT: LivenessCheck = {state: Liveness.Silent};

/** Creates the checks. */
export function createEngineLiveness(
  options: EngineLivenessOptions,
): EngineLiveness {
  const {clock, connections, protocol, health, pauses, limits} = options;
  const questions = new Map<string, Question>();
  const completedAtMs = new Map<string, number>();
  return {
    check,
    recordCompletion: serverId => {
      completedAtMs.set(serverId, clock.getMonotonicMs());
    },
    hasCompletedSince: (serverId, sinceMs) =>
      (completedAtMs.get(serverId) ?? Number.NEGATIVE_INFINITY) >= sinceMs,
    remove: serverId => {
      questions.delete(serverId);
      completedAtMs.delete(serverId);
    },
  };

  function check(server: BackendEntry): Promise<LivenessCheck> {
    const last = questions.get(server.id);
    const nowMs = clock.getMonotonicMs();
    if (last !== undefined) {
      const isRecent = nowMs - last.askedAtMs < MIN_INTERVAL_MS;
      if (last.isOpen || isRecent) return last.outcome;
    }
    // Questions must not use up what a server takes, nor reach one that asked for none.
    if (pauses.isPaused(server) || limits.isLimited(server)) {
      options.metrics.recordLivenessCheck(Liveness.Unknown);
      return Promise.resolve(UNKNOWN);
    }
    const question = {
      askedAtMs: nowMs,
      outcome: sendQuestion(server),
      isOpen: true,
    };
    questions.set(server.id, question);
    return question.outcome;
  }

  function sendQuestion(server: BackendEntry): Promise<LivenessCheck> {
    const askedAtMs = clock.getMonotonicMs();
    return new Promise(resolve => {
      let ticksLeft = SILENT_TICKS;
      let timer = clock.schedule(TICK_MS, handleTick);
      let isDecided = false;
      void sendControlCall(
        connections,
        clock,
        server,
        protocol.buildReportCall(server.id),
        CALL_TIMEOUT_MS,
      ).then(answer => {
        closeQuestion(server.id, askedAtMs);
        const tookMs = clock.getMonotonicMs() - askedAtMs;
        const isHeldUp = answer === undefined && tookMs >= CALL_TIMEOUT_MS;
        settle(isHeldUp ? UNKNOWN : parseCheck(server, answer));
      });

      function handleTick(): void {
        ticksLeft--;
        if (ticksLeft === 0) settle(SILENT);
        else timer = clock.schedule(TICK_MS, handleTick);
      }

      function settle(outcome: LivenessCheck): void {
        if (isDecided) return;
        isDecided = true;
        timer.cancel();
        recordOutcome(server, outcome, askedAtMs);
        resolve(outcome);
      }
    });
  }

  function closeQuestion(serverId: string, askedAtMs: number): void {
    const question = questions.get(serverId);
    if (question?.askedAtMs === askedAtMs) question.isOpen = false;
  }

  /** Any answer in the engine's name shows that its process runs, whatever its status. */
  function parseCheck(
    server: BackendEntry,
    answer: ControlResponse | undefined,
  ): LivenessCheck {
    if (answer === undefined) return SILENT;
    const {process, report} = parseReportAnswer(server, answer, protocol);
    if (process === ReportedProcess.Other) return {state: Liveness.Replaced};
    const waitingCount = report?.waitingCount;
    return {
      state: Liveness.Alive,
      ...(waitingCount === undefined ? {} : {waitingCount}),
    };
  }

  function recordOutcome(
    server: BackendEntry,
    outcome: LivenessCheck,
    askedAtMs: number,
  ): void {
    if (outcome.state === Liveness.Alive) health.recordResponse(server.id);
    options.metrics.recordLivenessCheck(outcome.state);
    options.logger.log('info', 'late engine asked for its report', {
      serverId: server.id,
      startedAtMs: server.startedAtMs,
      outcome: outcome.state,
      waitingCount: outcome.waitingCount,
      tookMs: Math.round(clock.getMonotonicMs() - askedAtMs),
    });
  }
}
