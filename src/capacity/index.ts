export {listNearBest, tryChooseNearBest} from './near_equals';
export type {Candidate} from './near_equals';
export {createServerCapacities} from './server_capacities';
export type {CapacityView} from './capacity_view';
export type {
  ServerCapacities,
  ServerCapacitiesOptions,
} from './server_capacities';
export {createServiceTimes} from './service_times';
export type {ServiceTimes} from './service_times';
export {isToldFactor, MAX_TOLD_SERVERS} from './told_factors';
export type {
  CapacityEstimate,
  CapacitySample,
  ServerIdentity,
  ToldFactor,
} from './types';
