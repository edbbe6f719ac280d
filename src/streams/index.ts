export {createAnswerBuffer} from './answer_buffer';
export type {AnswerBuffer, AnswerBufferOptions} from './answer_buffer';
export {createAnswerGate} from './answer_gate';
export type {AnswerGate, GateCounts} from './answer_gate';
export {resumeAnswer} from './resume_answer';
export type {ResumeOptions} from './resume_answer';
export {createResumeToken, tryParseResumeToken} from './resume_token';
export type {ResumeClaims} from './resume_token';
