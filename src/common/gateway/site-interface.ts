import type {ResolveResponse} from './resolve-response.js';
import type {ResolveRequest} from './resolve-request.js';
import type {HeaderVocabulary} from './header-vocabulary.js';
import type {SiteRegistry} from './site-registry.js';

/** Site-specific integration: access to the registry, header names and formats of the HTTP calls. */
export type SiteInterface = {
	readonly source: SiteRegistry;
	readonly headers: HeaderVocabulary;
	/** Path of the readiness check of an instance. */
	readonly readinessPath: string;
	/** Parses a resolve request from an HTTP request target; undefined when it is not one. */
	parseResolveRequest(target: string): ResolveRequest | undefined;
	/** Formats the body of the response to a resolve request. */
	formatResolveResponse(response: ResolveResponse): string;
};
