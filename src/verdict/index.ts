export {createFailure, FailureKind, Verdict} from './verdict';
export type {RequestFailure} from './verdict';
