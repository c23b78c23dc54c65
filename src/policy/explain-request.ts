import {err, ok, type Result} from 'neverthrow';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import type {RequestRule} from '../common/request-rule.js';
import type {ServiceSpec} from '../common/service-spec.js';
import {checkRequestHead} from './check-request-head.js';
import {findRule} from './find-rule.js';

/**
Determines how an entry would classify a request.
@param requestLine - Method and request target, such as `GET /styles/7`.
@returns The rule that applies, or the error that the caller would receive.
*/
export const explainRequest = (service: ServiceSpec, requestLine: string): Result<RequestRule, RequestError> => {
	const [method = '', target = '', ...rest] = requestLine.trim().split(/\s+/v);
	if (rest.length > 0 || target === '') {
		return err(new RequestError(ErrorKind.MalformedRequest, 'a request must consist of a method and a request target, such as "GET /styles/7"'));
	}

	const checked = checkRequestHead({method, target, rawHeaders: ['Host', service.name]}, 0);
	if (checked.isErr()) {
		return err(checked.error);
	}

	const rule = findRule(service, {method, target: checked.value});
	return rule === undefined
		? err(new RequestError(ErrorKind.MethodNotAllowed, `no rule of service ${service.name} matches ${requestLine}`))
		: ok(rule);
};
