import type {AttemptEnd} from './attempt-end.js';

/** Results of an attempt that can be derived from a complete response. */
export type ResponseVerdict = AttemptEnd.Answered | AttemptEnd.Failed | AttemptEnd.Refused | AttemptEnd.RefusedUnproven | AttemptEnd.Misdirected | AttemptEnd.Lost;
