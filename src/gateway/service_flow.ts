/**
 * Serves a request to a plain service. A failed attempt is retried on another
 * server if the request has not run, or if it is idempotent and its route
 * allows one more server.
 */
import {Verdict} from '../verdict';
import {createAnswerRelay} from './answer_relay';
import type {OpenCall} from './backend_call';
import type {FlowContext} from './flow_context';
import type {RequestTask} from './request_task';
import {formatFailure, sendToServer} from './server_call';
import {createServiceShare} from './service_share';
import {createServiceServers} from './service_servers';
import {tryGetRetryAfterMs} from './server_waits';
import {type BackendEntry, type CallFailure, RequestKind} from './types';

/** Minimum time left for an attempt on another server, in milliseconds. */
const MIN_TRY_MS = 40;
/** Time-out after which an idempotent request is sent to another server, in milliseconds: about ten times the usual answer time. */
const TRY_TIMEOUT_MS = 500;
/** Fraction of the time left that one attempt of an idempotent request may take. */
const TRY_TIME_FRACTION = 0.45;
/** Failed connection attempts after which the request is refused. */
const MAX_CONNECT_TRIES = 3;

/** Status 421: the server at the address is not the one that the request was meant for. */
const STATUS_MISDIRECTED = 421;
const STATUS_TOO_MANY = 429;
const STATUS_UNAVAILABLE = 503;
/** First status that is an error. */
const STATUS_ERROR = 400;

/** Serves one request to a plain service. */
export function runServiceFlow(context: FlowContext, task: RequestTask): void {
  const {exchange, route} = task;
  const {capacities, serviceTimes} = context;
  const isStream = route.kind === RequestKind.Stream;
  const isIdempotent = route.kind === RequestKind.Idempotent;
  const servers = createServiceServers(context, task.service, route.name);
  const share = createServiceShare(context, task, {
    computeLoad: servers.computeLoad,
    isLimited: context.limits.isLimited,
  });
  const tried = new Set<string>();
  let call: OpenCall | undefined;
  let cancelTry: () => void = () => undefined;
  let runCount = 0;
  let connectTries = 0;
  let mayHaveRun = false;
  const budget = context.getRetryBudget(task.service);
  budget.recordRequest();
  task.onStop(stop);
  start();

  function start(): void {
    if (!task.tryAdmit(getVerdict())) return;
    if (share.tryRefuse(servers.list(tried))) return;
    const server = servers.tryChoose(tried);
    if (server === undefined) {
      share.recordShortage();
      const retryAfterMs = tryGetRetryAfterMs(
        context,
        context.state.listUsable(task.service),
      );
      task.fail(
        getVerdict(),
        'no server of the service is available',
        retryAfterMs,
      );
      return;
    }
    send(server);
  }

  function send(server: BackendEntry): void {
    const sentAtMs = context.clock.getMonotonicMs();
    const load = servers.computeLoad(server);
    const remainingMs = task.getRemainingMs();
    if (load > 1) share.recordShortage();
    tried.add(server.id);
    runCount++;
    serviceTimes.recordStart(server.id);
    task.log('sent to server', {serverId: server.id, runCount});
    const relay = createAnswerRelay({
      task,
      protocol: context.protocol,
      isEventStream: isStream,
      onRun: () => {
        share.recordRun();
        context.recordRun(task.account?.name);
      },
      isErrorRetryable: () => isIdempotent && canRunAgain(),
      onEnd: status => {
        recordTryEnd();
        recordAnswer(status);
        task.complete(status, server.id);
      },
      onFailure: failure => {
        recordTryEnd();
        handleFailure(server, failure, sentAtMs);
      },
    });
    const tryTimer = isIdempotent
      ? context.clock.schedule(
          Math.min(TRY_TIMEOUT_MS, remainingMs * TRY_TIME_FRACTION),
          handleTryTimeout,
        )
      : undefined;
    const opened = sendToServer({context, task, server, handler: relay});
    let isTryOver = false;
    call = opened;
    cancelTry = () => {
      opened.cancel();
      recordTryEnd();
    };
    relay.attach(opened);

    function recordTryEnd(): void {
      if (isTryOver) return;
      isTryOver = true;
      tryTimer?.cancel();
      serviceTimes.recordEnd(server.id);
    }

    /** Errors are no samples: a server that fails fast is not fast. */
    function recordAnswer(status: number): void {
      context.health.recordSuccess(server.id);
      if (status >= STATUS_ERROR) return;
      const elapsedMs = recordTime();
      serviceTimes.recordAnswer(task.service, route.name, elapsedMs);
    }

    /** Records the time up to now as a sample of the server's speed and returns it. */
    function recordTime(): number {
      const elapsedMs = context.clock.getMonotonicMs() - sentAtMs;
      const usualMs = serviceTimes.getAnswerMs(task.service, route.name);
      capacities.recordSample(server, {ratio: elapsedMs / usualMs, load});
      return elapsedMs;
    }

    function handleTryTimeout(): void {
      if (task.isOver() || exchange.hasAnswerBegun() || !canRunAgain()) return;
      cancelTry();
      // The answer takes at least this long; without this sample, a server that always takes longer would never be known as slow.
      recordTime();
      const failure: CallFailure = {
        verdict: Verdict.MayHaveRun,
        reason: 'stalled',
        evidence: opened.getEvidence(),
        message: 'no answer in time',
      };
      handleFailure(server, failure, sentAtMs);
    }
  }

  function handleFailure(
    server: BackendEntry,
    failure: CallFailure,
    sentAtMs: number,
  ): void {
    if (failure.verdict === Verdict.NotRun) runCount--;
    else mayHaveRun = true;
    // Another server has taken over the address, which says nothing about the health of this one.
    if (failure.status !== STATUS_MISDIRECTED) {
      context.health.recordFailure(
        server.id,
        failure.reason,
        failure.reason === 'connect',
      );
    }
    if (isFullAnswer(failure)) share.recordShortage();
    const isAgain = !task.isOver() && canTryAgain(failure);
    task.log('server failed the request', {
      serverId: server.id,
      ...formatFailure(failure),
      sinceSentMs: Math.round(context.clock.getMonotonicMs() - sentAtMs),
      isAgain,
    });
    if (isAgain) {
      context.metrics.recordRetry(task.service, failure.reason);
      start();
      return;
    }
    task.fail(getVerdict(), `server failed: ${failure.reason}`);
  }

  function canTryAgain(failure: CallFailure): boolean {
    if (exchange.hasAnswerBegun() || exchange.isHalfClosed()) return false;
    if (task.getRemainingMs() < MIN_TRY_MS) return false;
    if (failure.reason === 'connect') {
      return ++connectTries < MAX_CONNECT_TRIES;
    }
    if (failure.verdict !== Verdict.NotRun && !isIdempotent) return false;
    return canRunAgain() && budget.tryTake();
  }

  function canRunAgain(): boolean {
    return runCount < route.maxServers && task.getRemainingMs() > MIN_TRY_MS;
  }

  function getVerdict(): Verdict {
    return mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun;
  }

  function stop(cause: 'gone' | 'timeout'): void {
    // A non-idempotent request goes on after its caller has disconnected: cancelling the call would not undo its effect. Its answer is awaited no longer than for a caller who stays.
    if (cause === 'gone' && !isIdempotent) {
      context.clock.schedule(Math.max(0, task.getRemainingMs()), cancelTry);
      return;
    }
    const wasSent = call?.isSent() === true;
    cancelTry();
    if (cause === 'timeout') {
      const verdict = wasSent ? Verdict.MayHaveRun : getVerdict();
      task.fail(verdict, 'timeout');
    }
  }
}

/** True for the answer of a server that takes no more requests for now. */
function isFullAnswer({verdict, status}: CallFailure): boolean {
  return (
    verdict === Verdict.NotRun &&
    (status === STATUS_TOO_MANY || status === STATUS_UNAVAILABLE)
  );
}
