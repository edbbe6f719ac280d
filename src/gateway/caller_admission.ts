/** Authenticates callers' requests against the current state of this node. */
import {
  type AccountTable,
  authenticate,
  type Authentication,
  type FreshnessBounds,
  isStateOutdated,
} from '../accounts';
import type {FleetState} from './fleet_state';
import type {Route} from './types';

/** Decides which requests may be sent. */
export interface CallerAdmission {
  /** Authenticates a request to a route; `wasFound` is true when its key was found before. */
  authenticate(
    route: Route,
    keyDigest: string | undefined,
    wasFound: boolean,
  ): Authentication;
  /** Authenticates a caller of an account as if it had sent one of the account's keys; without a name, as if it had sent none. */
  authenticateAs(route: Route, accountName: string | undefined): Authentication;
  /** Returns the version of the current configuration; 0 when there is none. */
  getConfigVersion(): number;
  /** True when the configuration may lack a route or key that a newer version has. */
  isStateOutdated(): boolean;
  /** Returns the time since this node's state was last known to be current, in milliseconds. */
  getStateAgeMs(): number;
}

/** Options of the admission. */
export interface CallerAdmissionOptions {
  readonly state: Pick<FleetState, 'getConfig' | 'tryGetAccounts'>;
  readonly bounds: FreshnessBounds;
  readonly getStateAgeMs: () => number;
}

/** Creates the admission. */
export function createCallerAdmission(
  options: CallerAdmissionOptions,
): CallerAdmission {
  const {state, bounds, getStateAgeMs} = options;
  return {
    authenticate: (route, keyDigest, wasFound) =>
      check(route, state.tryGetAccounts(), keyDigest, wasFound),
    authenticateAs: (route, accountName) => {
      const accounts = state.tryGetAccounts();
      const byName = accounts && {tryFind: accounts.tryFindByName};
      return check(route, byName, accountName, false);
    },
    getConfigVersion: () => state.getConfig()?.version ?? 0,
    isStateOutdated: () => isStateOutdated(getStateAgeMs(), bounds),
    getStateAgeMs,
  };

  function check(
    route: Route,
    accounts: Pick<AccountTable, 'tryFind'> | undefined,
    keyDigest: string | undefined,
    wasFound: boolean,
  ): Authentication {
    return authenticate({
      accounts,
      isPublic: route.isPublic === true,
      ...(keyDigest === undefined ? {} : {keyDigest}),
      stateAgeMs: getStateAgeMs(),
      bounds,
      wasFound,
    });
  }
}
