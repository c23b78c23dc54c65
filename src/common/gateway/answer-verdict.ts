import type {AttemptEnd} from './attempt-end.js';

/** Results of an attempt that can be derived from a complete response. */
export type AnswerVerdict = AttemptEnd.Answered | AttemptEnd.Failed | AttemptEnd.Refused | AttemptEnd.Misdirected | AttemptEnd.Lost;
