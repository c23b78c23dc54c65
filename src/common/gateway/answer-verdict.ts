import type {AttemptEnd} from './attempt-end.js';

/** Ends of an attempt that a whole answer can show. */
export type AnswerVerdict = AttemptEnd.Answered | AttemptEnd.Failed | AttemptEnd.Refused | AttemptEnd.Misdirected | AttemptEnd.Lost;
