/** Dispatches a caller's request to its route and to the flow that serves it. */
import {RefusalReason} from '../accounts';
import type {Logger} from '../diagnostics/log';
import {Verdict} from '../verdict';
import type {CallerAdmission} from './caller_admission';
import type {Drain} from './drain';
import type {Exchange} from './exchange';
import type {FlowContext} from './flow_context';
import {
  createRequestTask,
  OUTDATED_RETRY_AFTER_MS,
  type RequestTask,
} from './request_task';
import {chooseService} from './route_table';
import {runServiceFlow} from './service_flow';
import {runStreamFlow} from './stream_flow';
import {RequestKind, type Route} from './types';

/** Options of the router. */
export interface ExchangeRouterOptions {
  readonly context: FlowContext;
  readonly admission: CallerAdmission;
  readonly drain: Pick<Drain, 'mustRefuse'>;
  readonly logger: Logger;
}

/** Dispatches requests. */
export interface ExchangeRouter {
  handle(exchange: Exchange): void;
  /** Ends all open requests as if their time were up, so that each gets a truthful answer. */
  expireAll(): void;
}

/** Time after which a caller may retry at another node while this one is being stopped, in milliseconds. */
export const STOPPING_RETRY_AFTER_MS = 0;

/** Creates a router. */
export function createExchangeRouter(
  options: ExchangeRouterOptions,
): ExchangeRouter {
  const {context, admission, drain, logger} = options;
  const {state, protocol, clock, metrics} = context;
  const openTasks = new Set<RequestTask>();
  return {
    handle: handleExchange,
    expireAll: () => {
      for (const task of openTasks) task.expire();
    },
  };

  /** Catches exceptions, so that a bug ends one request and not the process. */
  function handleExchange(exchange: Exchange): void {
    try {
      runExchange(exchange);
    } catch (error) {
      logger.log('error', 'unhandled error while serving a request', {
        requestId: exchange.request.requestId,
        error: error instanceof Error ? (error.stack ?? '') : String(error),
      });
      exchange.answer(500, [], 'internal error');
    }
  }

  function runExchange(exchange: Exchange): void {
    const config = state.getConfig();
    if (config === undefined) {
      logger.log('info', 'refused: no configuration yet', {
        requestId: exchange.request.requestId,
      });
      refuseOutdated(exchange, 'no configuration yet');
      return;
    }
    const route = state.getRoutes().tryFind(exchange.host, exchange.target);
    if (route === undefined) {
      handleMissingRoute(exchange, config.version);
      return;
    }
    runRoute(exchange, route, config.version);
  }

  function runRoute(
    exchange: Exchange,
    route: Route,
    configVersion: number,
  ): void {
    const service = chooseService(route.services, context.getRandom()) ?? '';
    const task = createRequestTask({
      exchange,
      route,
      service,
      configVersion,
      admission,
      protocol,
      clock,
      logger,
      metrics,
      onEnd: () => openTasks.delete(task),
    });
    openTasks.add(task);
    if (!task.tryAdmit(Verdict.NotRun)) return;
    if (drain.mustRefuse(task.getRemainingMs())) {
      task.fail(Verdict.NotRun, 'gateway is stopping', STOPPING_RETRY_AFTER_MS);
      return;
    }
    const engine = state.tryGetService(service)?.engine;
    const {model} = exchange.request;
    if (route.kind !== RequestKind.Stream || !engine || !model) {
      runServiceFlow(context, task);
      return;
    }
    runStreamFlow(context, engine, model, task);
  }

  /** Answers 404, unless the route may be in a newer configuration that this node has not seen. */
  function handleMissingRoute(exchange: Exchange, configVersion: number): void {
    const isOutdated = admission.isStateOutdated();
    logger.log('info', 'no route matches the request', {
      requestId: exchange.request.requestId,
      configVersion,
      stateAgeMs: Math.round(admission.getStateAgeMs()),
      isOutdated,
    });
    if (!isOutdated) {
      exchange.answer(404, [], 'no route');
      return;
    }
    metrics.recordAuthentication(RefusalReason.StateOutdated);
    refuseOutdated(exchange, RefusalReason.StateOutdated);
  }

  function refuseOutdated(exchange: Exchange, reason: string): void {
    const {requestId} = exchange.request;
    exchange.answer(
      503,
      protocol.buildRetryHeaders(requestId, OUTDATED_RETRY_AFTER_MS),
      `${reason} (${Verdict.NotRun})`,
    );
  }
}
