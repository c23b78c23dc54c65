import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import type {FieldError} from '../common/field-error.js';

/** Reads a JSON file. The error's field is `(file)` when the file cannot be read and `(text)` when it is not valid JSON. */
export const readJsonFile = (file: string): Result<unknown, FieldError> => {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		return err({field: '(file)', value: file, message: (error as Error).message});
	}

	try {
		return ok(JSON.parse(text) as unknown);
	} catch (error) {
		return err({field: '(text)', value: file, message: `not JSON: ${(error as Error).message}`});
	}
};
