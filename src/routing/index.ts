export {createDispatcher} from './dispatcher';
export {isSelected} from './selector';
export type {
  AnswerEnd,
  AnswerSink,
  Dispatcher,
  DispatcherHost,
  ModelRequest,
  RequestHandle,
  RoutingEvent,
} from './types';
export {createServiceDispatcher} from './service_dispatcher';
export type {
  ServiceCall,
  ServiceDispatcher,
  ServiceDispatcherOptions,
} from './service_dispatcher';
