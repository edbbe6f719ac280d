export {tryGetAccount} from './authenticate';
export {createCallerApp} from './caller_app';
export type {CallerAppOptions} from './caller_app';
export {getClassification} from './classify';
export type {Classification, RequestTraits} from './classify';
export {OperatorRight, tryGetOperator} from './operator_access';
export type {Operator} from './operator_access';
export {createOperatorApp} from './operator_app';
export type {OperatorAppOptions} from './operator_app';
export {createRequestPipeline} from './pipeline';
export type {RequestPipelineOptions} from './pipeline';
export {createRequestExplainer} from './request_explainer';
export type {
  RequestExplainer,
  RequestExplainerOptions,
} from './request_explainer';
export {createResumeService} from './resume_service';
export type {ResumeService, ResumeServiceOptions} from './resume_service';
export {createTraceRecorder} from './trace_recorder';
export type {
  RecordedRequest,
  TraceRecorder,
  TraceRecorderOptions,
} from './trace_recorder';
export type {
  CallerOptions,
  ModelInput,
  RequestInput,
  RequestPipeline,
  RequestPreview,
  RequestSummary,
  SelectServers,
  ServiceInput,
  ServiceResult,
} from './types';
