export {getKeyDigest, tryGetBearerToken} from '../accounts';
export type {ClientAccount} from '../accounts';
export {DutyKind} from '../duties';
export type {
  DutyCaller,
  DutyClient,
  DutyFailure,
  UsagePage,
  UsageRecord,
  UsageStore,
} from '../duties';
export type {ScalingLimits} from '../scaling';
export {createGateway} from './gateway';
export type {Gateway, GatewayOptions} from './gateway';
export type {DutyPlatform} from './gateway_duties';
export {findHeader} from './raw_headers';
export {computeFencingNumber, isStoreEra} from './store_era';
export type {QuarantineRecord} from './part_quarantine';
export type {
  Address,
  DutySettings,
  GatewayBounds,
  GatewaySettings,
} from './settings';
export {DEFAULT_CALLER_LIMITS, EngineStage, RequestKind} from './types';
export type {
  AnswerHead,
  AuthorityState,
  BackendEntry,
  BackendProtocol,
  BackendService,
  CallerLimits,
  CallerRequest,
  ConfigPage,
  EngineLimits,
  EntryChange,
  EntryPage,
  FleetStore,
  GatewayConfig,
  KvReference,
  ModelRequest,
  NodeRecord,
  ControlCall,
  PromptPart,
  QuarantinePage,
  Route,
  SendOptions,
  ServerNotice,
  StageOrder,
  StageReport,
  StoreFailure,
  WeightedService,
} from './types';
