import type {RequestRule} from '../common/request-rule.js';
import type {ServiceSpec} from '../common/service-spec.js';
import {normalizePath} from './normalize-path.js';

type ClassifiedRequest = {
	readonly method: string;
	/** Request target in origin form. */
	readonly target: string;
	/** Method from a method override header, which a target may use instead. */
	readonly overridingMethod?: string | undefined;
};

const findFirstMatch = (rules: readonly RequestRule[], method: string, path: string): RequestRule | undefined => rules.find(rule =>
	(rule.methods.length === 0 || rule.methods.includes(method)) && path.startsWith(rule.pathPrefix));

/**
Finds the first rule of a service that matches a request.
If a target may interpret the method or path differently, every interpretation must match a rule, and a rule that is not
idempotent takes precedence.
*/
export const findRule = (service: ServiceSpec, request: ClassifiedRequest): RequestRule | undefined => {
	const queryAt = request.target.indexOf('?');
	const path = queryAt === -1 ? request.target : request.target.slice(0, queryAt);
	const first = findFirstMatch(service.rules, request.method, path);
	const normalized = normalizePath(path);
	const {overridingMethod = request.method} = request;
	if (normalized === path && overridingMethod === request.method) {
		return first;
	}

	const candidates = [first];
	for (const method of new Set([request.method, overridingMethod.toUpperCase()])) {
		for (const interpretation of new Set([path, normalized])) {
			candidates.push(findFirstMatch(service.rules, method, interpretation));
		}
	}

	return candidates.includes(undefined) ? undefined : (candidates.find(rule => rule?.idempotent === false) ?? first);
};
