export {decodeEnvelope, encodeEnvelope} from './codec';
export type {DecodeResult} from './codec';
export {
  configStream,
  createConfigStream,
  exportCarried,
  getCarryPeriodMs,
} from './config_fold';
export type {ConfigStreamOptions} from './config_fold';
export {CONFIG_STREAM} from './config_types';
export type {
  CarriedTemplate,
  ConfigEntry,
  ConfigState,
  RetiredTemplate,
} from './config_types';
export {createStreamFold} from './stream_fold';
export type {AppliedEntry, StreamFold} from './stream_fold';
export {createStreamFollower} from './stream_follower';
export type {StreamFollowerOptions} from './stream_follower';
export {createStreamRecovery} from './stream_recovery';
export type {
  PeerOffset,
  SnapshotSource,
  StreamRecovery,
  StreamRecoveryOptions,
} from './stream_recovery';
export {createStreamWriter} from './stream_writer';
export type {StreamWriterOptions} from './stream_writer';
export {createTemplateCarrier, getCarryDueAtMs} from './template_carrier';
export type {TemplateCarrier, TemplateCarrierOptions} from './template_carrier';
export {checkTemplate} from './template_check';
export type {TemplateProblem} from './template_check';
export {listTemplateChanges} from './template_diff';
export {templateSchema} from './template_schema';
export type {
  AccountLimits,
  AccountMove,
  MoveGate,
  MoveStage,
  RequestClass,
  ServerSelector,
  Template,
} from './template_schema';
export {ENVELOPE_VERSION} from './types';
export type {
  EntryContext,
  EntryListener,
  EntryOutcome,
  Envelope,
  FoldCounts,
  FoldSnapshot,
  Position,
  StreamDefinition,
  StreamFollower,
  StreamWriter,
} from './types';
export {getEntryAccount} from './config_changes';
export type {TemplateState, TemplateVersion} from './template_state';
