export {createHttpEngineClient} from './http_engine_client';
export type {HttpEngineClientOptions} from './http_engine_client';
export {createHttpServiceClient} from './http_service_client';
export type {HttpServiceClientOptions} from './http_service_client';
export {EngineRole, EngineState, TOKENS_PER_PIECE} from './types';
export type {
  BackendFailure,
  BackendServer,
  CacheEvent,
  EngineCall,
  EngineClient,
  EngineCommand,
  EngineEnd,
  EngineOrder,
  EngineReport,
  EngineRequest,
  EngineSink,
  KvHandle,
  ServiceAnswer,
  ServiceClient,
  ServiceRequest,
  TokenBatch,
} from './types';
