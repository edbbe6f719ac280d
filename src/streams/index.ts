export {createAnswerGate} from './answer_gate';
export type {AnswerGate, GateCounts} from './answer_gate';
