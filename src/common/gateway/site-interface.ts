import type {EntryAnswer} from './entry-answer.js';
import type {EntryQuestion} from './entry-question.js';
import type {HeaderVocabulary} from './header-vocabulary.js';
import type {SiteSource} from './site-source.js';

/** Site-specific integration: access to the registry, header names and formats of the HTTP calls. */
export type SiteInterface = {
	readonly source: SiteSource;
	readonly headers: HeaderVocabulary;
	/** Path of the readiness check of an instance. */
	readonly readinessPath: string;
	/** Parses a resolve request from an HTTP request target; undefined when it is not one. */
	parseQuestion(target: string): EntryQuestion | undefined;
	/** Formats the body of the response to a resolve request. */
	formatAnswer(answer: EntryAnswer): string;
};
