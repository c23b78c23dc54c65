import type {WholeAnswer} from '../../common/gateway/whole-answer.js';

/** What came of one exchange with a target. */
export type TargetExchange =
	| {readonly kind: 'answer'; readonly answer: WholeAnswer}
	| {readonly kind: 'unsent'; readonly detail: string}
	| {readonly kind: 'lost'; readonly detail: string};
