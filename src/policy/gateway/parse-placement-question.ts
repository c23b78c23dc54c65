import {err, ok, type Result} from 'neverthrow';
import type {PlacementQuestion} from '../../common/gateway/placement-question.js';

const defaults = new Map([['method', 'GET'], ['host', undefined], ['path', undefined], ['bodyBytes', '0']]);

const patterns = new Map([
	['method', /^[\w\-]{1,32}$/v],
	['host', /^[\u0021-\u007E]{1,255}$/v],
	['path', /^\/[\u0021-\u007E]*$/v],
	['bodyBytes', /^\d{1,15}$/v],
]);

/** Parses the query of a request for a dry run; an error names the invalid parameter. */
export const parsePlacementQuestion = (query: URLSearchParams): Result<PlacementQuestion, string> => {
	const unknown = [...query.keys()].find(name => !defaults.has(name));
	if (unknown !== undefined) {
		return err(`unknown parameter "${unknown}"; the parameters are ${[...defaults.keys()].join(', ')}`);
	}

	const values = new Map<string, string>();
	for (const [name, pattern] of patterns) {
		const [value = defaults.get(name), ...others] = query.getAll(name);
		if (value === undefined) {
			return err(`parameter ${name} is missing`);
		}

		if (others.length > 0 || !pattern.test(value)) {
			return err(others.length > 0 ? `parameter ${name} is given more than once` : `parameter ${name}: "${value}" is invalid`);
		}

		values.set(name, value);
	}

	return ok({
		method: values.get('method')!, host: values.get('host')!, path: values.get('path')!, bodyBytes: Number(values.get('bodyBytes')),
	});
};
