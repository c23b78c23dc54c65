import type {EntryAnswer} from './entry-answer.js';
import type {EntryQuestion} from './entry-question.js';
import type {HeaderVocabulary} from './header-vocabulary.js';
import type {SiteSource} from './site-source.js';

/** What a site speaks: its registry, its headers and its calls. */
export type SiteInterface = {
	readonly source: SiteSource;
	readonly headers: HeaderVocabulary;
	/** Path of the call that asks whether an instance is ready. */
	readonly readinessPath: string;
	/** Reads a caller's question from a request target; undefined when it is none. */
	parseQuestion(target: string): EntryQuestion | undefined;
	/** Writes the body of the answer to a question. */
	formatAnswer(answer: EntryAnswer): string;
};
