import type {AnswerBody} from './answer-body.js';

/** A target's answer from its head on. */
export type TargetAnswer = {
	readonly status: number;
	/** Names and values in turn, as received. */
	readonly rawHeaders: readonly string[];
	readonly body: AnswerBody;
};
