export {decodeEnvelope, encodeEnvelope} from './codec';
export type {Decoded} from './codec';
export {CONFIG_STREAM, configStream} from './config_fold';
export type {
  ConfigEntry,
  ConfigState,
  TemplateState,
  TemplateVersion,
} from './config_fold';
export {createStreamFold} from './stream_fold';
export type {AppliedEntry, StreamFold} from './stream_fold';
export {createStreamFollower} from './stream_follower';
export type {StreamFollowerOptions} from './stream_follower';
export {createStreamWriter} from './stream_writer';
export type {StreamWriterOptions} from './stream_writer';
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
