/** Dispatches a caller's request to its route and to the flow that serves it. */
import type {Logger} from '../diagnostics/log';
import {Verdict} from '../verdict';
import type {Exchange} from './exchange';
import type {FlowContext} from './flow_context';
import {createRequestTask} from './request_task';
import {chooseService} from './route_table';
import {runServiceFlow} from './service_flow';
import type {ServiceLoads} from './service_loads';
import {runStreamFlow} from './stream_flow';
import {RequestKind, type Route} from './types';

/** Options of the router. */
export interface ExchangeRouterOptions {
  readonly context: FlowContext;
  readonly loads: ServiceLoads;
  readonly logger: Logger;
}

/** Time after which a caller may retry while this node has no configuration, in milliseconds. */
const NO_CONFIG_RETRY_AFTER_MS = 500;

/** Creates a router; the returned function handles one request. */
export function createExchangeRouter(
  options: ExchangeRouterOptions,
): (exchange: Exchange) => void {
  const {context, loads, logger} = options;
  const {state, protocol, clock, metrics} = context;
  return handleExchange;

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
      refuseWithoutConfig(exchange);
      return;
    }
    const route = state.getRoutes().tryFind(exchange.host, exchange.target);
    if (route === undefined) {
      logger.log('info', 'no route matches the request', {
        requestId: exchange.request.requestId,
        configVersion: config.version,
      });
      exchange.answer(404, [], 'no route');
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
      protocol,
      clock,
      logger,
      metrics,
    });
    const engine = state.tryGetService(service)?.engine;
    const {model} = exchange.request;
    if (route.kind !== RequestKind.Stream || !engine || !model) {
      runServiceFlow(context, loads, task);
      return;
    }
    runStreamFlow(context, engine, model, task);
  }

  function refuseWithoutConfig(exchange: Exchange): void {
    const {requestId} = exchange.request;
    logger.log('info', 'refused: no configuration yet', {requestId});
    exchange.answer(
      503,
      protocol.buildRetryHeaders(requestId, NO_CONFIG_RETRY_AFTER_MS),
      `no configuration yet (${Verdict.NotRun})`,
    );
  }
}
