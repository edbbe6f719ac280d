/** Authenticates callers' requests against the current state of this node. */
import {
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
      authenticate({
        accounts: state.tryGetAccounts(),
        isPublic: route.isPublic === true,
        ...(keyDigest === undefined ? {} : {keyDigest}),
        stateAgeMs: getStateAgeMs(),
        bounds,
        wasFound,
      }),
    getConfigVersion: () => state.getConfig()?.version ?? 0,
    isStateOutdated: () => isStateOutdated(getStateAgeMs(), bounds),
    getStateAgeMs,
  };
}
