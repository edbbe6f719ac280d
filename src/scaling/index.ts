export {createScaling} from './scaling';
export type {Scaling, ScalingOptions} from './scaling';
export {createSharedParts} from './shared_parts';
export type {SharedParts} from './shared_parts';
export {planServers} from './plan_servers';
export type {
  ListedServer,
  OrderedServers,
  ScaledService,
  ScalingLimits,
  ServerLoad,
  ServerOrder,
} from './types';
