import type {RequestRule} from '../common/request-rule.js';
import type {ServiceSpec} from '../common/service-spec.js';
import {normalizePath} from './normalize-path.js';

type ClassifiedRequest = {
	readonly method: string;
	/** Request target in origin form. */
	readonly target: string;
	/** Method that an override header asks the target to use instead, if any. */
	readonly overridingMethod?: string | undefined;
};

const findFirst = (rules: readonly RequestRule[], method: string, path: string): RequestRule | undefined => rules.find(rule =>
	(rule.methods.length === 0 || rule.methods.includes(method)) && path.startsWith(rule.pathPrefix));

/**
Finds the first rule of a service that matches a request.
Where a target may read method or path differently, each reading must match a rule, and one that is not idempotent applies.
*/
export const findRule = (service: ServiceSpec, request: ClassifiedRequest): RequestRule | undefined => {
	const queryAt = request.target.indexOf('?');
	const path = queryAt === -1 ? request.target : request.target.slice(0, queryAt);
	const first = findFirst(service.rules, request.method, path);
	const normalized = normalizePath(path);
	const {overridingMethod = request.method} = request;
	if (normalized === path && overridingMethod === request.method) {
		return first;
	}

	const found = [first];
	for (const method of new Set([request.method, overridingMethod.toUpperCase()])) {
		for (const reading of new Set([path, normalized])) {
			found.push(findFirst(service.rules, method, reading));
		}
	}

	return found.includes(undefined) ? undefined : (found.find(rule => rule?.idempotent === false) ?? first);
};
