import type * as z from 'zod/mini';
import type {FieldError} from './field-error.js';

const maxValueCharacters = 80;

const formatPath = (path: readonly PropertyKey[]): string => {
	let text = '';
	for (const part of path) {
		text += typeof part === 'number' ? `[${part}]` : (text === '' ? String(part) : `.${String(part)}`);
	}

	return text === '' ? '(root)' : text;
};

const getValueAt = (input: unknown, path: readonly PropertyKey[]): unknown => {
	let value = input;
	for (const part of path) {
		if (typeof value !== 'object' || value === null) {
			return undefined;
		}

		value = (value as Record<PropertyKey, unknown>)[part];
	}

	return value;
};

/** Formats a value as JSON, or as its type when it is nested too deep for that. */
const encodeJson = (value: unknown): string => {
	try {
		return JSON.stringify(value) ?? typeof value;
	} catch {
		return typeof value;
	}
};

const formatValue = (value: unknown): string => {
	const text = value === undefined ? 'missing' : encodeJson(value);
	return text.length > maxValueCharacters ? `${text.slice(0, maxValueCharacters)}…` : text;
};

/** Converts a schema validation error into field errors that name the field, its value and what is allowed. */
export const convertZodError = (error: z.core.$ZodError, input: unknown): FieldError[] => error.issues.map(issue => {
	if (issue.code === 'unrecognized_keys') {
		const path = [...issue.path, issue.keys[0] ?? ''];
		return {field: formatPath(path), value: formatValue(getValueAt(input, path)), message: 'no such field'};
	}

	return {field: formatPath(issue.path), value: formatValue(getValueAt(input, issue.path)), message: issue.message};
});
