export {createReorderBuffer} from './reorder_buffer';
export type {ReorderBuffer, ReorderCounts} from './reorder_buffer';
export {createAccountLimiter} from './account_limiter';
export type {
  AccountLimiter,
  AccountLimiterOptions,
  AccountUsage,
  Admission,
  FleetLimits,
  LimitRefusal,
  PeerUsage,
} from './account_limiter';
export {
  createLeastLoadedChoice,
  createPredictedChoice,
  createRoundRobinChoice,
} from './choice';
export type {Choice, ChoiceContext, ChooseEngine} from './choice';
export {createDispatcher} from './dispatcher';
export {createPolicyOptions, RoutingPolicy} from './dispatcher_options';
export type {DispatcherOptions} from './dispatcher_options';
export type {DigestWork} from './estimate';
export {createPrefixHasher} from './prefix_hash';
export type {PrefixHasher, PrefixHashes} from './prefix_hash';
export {isSelected} from './selector';
export type {
  AnswerEnd,
  AnswerSink,
  Dispatcher,
  DispatcherCounts,
  DispatcherHost,
  LocalEngineWork,
  ModelRequest,
  PredictedDispatch,
  RequestHandle,
  RoutingEvent,
  ServerView,
} from './types';
export {createServiceDispatcher} from './service_dispatcher';
export type {
  ServiceCall,
  ServiceDispatcher,
  ServiceDispatcherOptions,
} from './service_dispatcher';
