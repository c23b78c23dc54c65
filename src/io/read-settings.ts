import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {convertZodError} from '../common/convert-zod-error.js';
import type {FieldError} from '../common/field-error.js';
import {readJsonFile} from './read-json-file.js';

/** Reads and validates a JSON file. The errors name each invalid field, its value and what is allowed. */
export const readSettings = <T extends z.ZodType>(file: string, schema: T): Result<z.infer<T>, FieldError[]> => {
	const input = readJsonFile(file);
	if (input.isErr()) {
		return err([input.error]);
	}

	const parsed = schema.safeParse(input.value);
	return parsed.success ? ok(parsed.data) : err(convertZodError(parsed.error, input.value));
};
