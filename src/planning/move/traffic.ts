/** Selects the servers for requests of moving client accounts, and counts the outcomes. */
import type {Clock} from '../../runtime';
import type {Template} from '../../state';
import {FailureKind, type RequestFailure} from '../../verdict';
import {type AccountWindows, createAccountWindows} from './account_windows';
import type {MoveIndex} from './move_index';
import {selectMoveServers} from './select_servers';
import {tryGetStageInForce} from './stage';
import type {AccountWindow, MoveProgress, MoveServers} from './types';

/** Options of `createMoveTraffic`. */
export interface MoveTrafficOptions {
  readonly clock: Clock;
  readonly index: MoveIndex;
  readonly tryGetProgress: (clientAccount: string) => MoveProgress | undefined;
  /** Returns a random number, 0 <= number < 1. */
  readonly getRandom: () => number;
}

/** Outcome of a request. */
export interface EndedRequest {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly isInDeadline: boolean;
  /** Undefined when the request was answered. */
  readonly failure?: RequestFailure;
}

/** Server selection and request counts for the moving client accounts of one node. */
export interface MoveTraffic {
  /** Selects the servers of a request; called once per request. */
  selectServers(template: Template, requestId: string): MoveServers;
  /** Selects the servers for a random number from 0 to 1 (excluded), without counting a request. */
  predictServers(template: Template, draw: number): MoveServers;
  /** Counts a request that has ended; called once per request. */
  addEnded(request: EndedRequest): void;
  getWindow(clientAccount: string, windowMs: number): AccountWindow;
}

/**
 * Failures caused by the caller. They are not counted, since they say nothing about the servers.
 */
const CALLER_FAILURES: ReadonlySet<FailureKind> = new Set([
  FailureKind.BadRequest,
  FailureKind.TooLarge,
  FailureKind.Unauthorized,
  FailureKind.Forbidden,
  FailureKind.NotFound,
  FailureKind.KeyConflict,
  FailureKind.LimitExceeded,
  FailureKind.Cancelled,
]);

/** Creates the server selection and request counts of one node. */
export function createMoveTraffic(options: MoveTrafficOptions): MoveTraffic {
  const {index, tryGetProgress} = options;
  const windows: AccountWindows = createAccountWindows({
    clock: options.clock,
    isCounted: index.isMoving,
  });
  const openAtOrigin = new Map<string, () => void>();
  return {
    selectServers,
    predictServers,
    addEnded,
    getWindow: windows.getWindow,
  };

  function selectServers(template: Template, requestId: string): MoveServers {
    if (template.move === undefined) return {servers: template.engines};
    const progress = tryGetProgress(template.client_account);
    const stage = tryGetStageInForce(template.move, progress);
    const isAtDestination = stage?.kind === 'drain' || stage?.kind === 'done';
    if (!isAtDestination) {
      const close = windows.addOpenAtOrigin(template.client_account);
      openAtOrigin.set(requestId, close);
    }
    return selectMoveServers({template, progress, draw: options.getRandom()});
  }

  function predictServers(template: Template, draw: number): MoveServers {
    const {move, engines, client_account: account} = template;
    if (move === undefined) return {servers: engines};
    const progress = tryGetProgress(account);
    return selectMoveServers({template, progress, draw});
  }

  function addEnded(request: EndedRequest): void {
    openAtOrigin.get(request.requestId)?.();
    openAtOrigin.delete(request.requestId);
    const {clientAccount, isInDeadline, failure} = request;
    if (failure !== undefined && CALLER_FAILURES.has(failure.kind)) return;
    const isFailed = failure !== undefined;
    windows.add({clientAccount, isInDeadline, isFailed});
  }
}
