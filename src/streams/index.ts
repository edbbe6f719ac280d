export {resumeAnswer} from './resume_answer';
export type {ResumeOptions} from './resume_answer';
export {createResumeToken, tryParseResumeToken} from './resume_token';
export type {ResumeTokenClaims} from './resume_token';
