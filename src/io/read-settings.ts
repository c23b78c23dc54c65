import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {convertZodError} from '../common/convert-zod-error.js';
import type {FieldError} from '../common/field-error.js';

/** Reads and checks a JSON settings file; every refused field is named with its value and what is allowed. */
export const readSettings = <T extends z.ZodType>(file: string, schema: T): Result<z.infer<T>, FieldError[]> => {
	let input: unknown;
	try {
		input = JSON.parse(readFileSync(file, 'utf8'));
	} catch (error) {
		return err([{field: '(file)', value: file, message: (error as Error).message}]);
	}

	const checked = schema.safeParse(input);
	return checked.success ? ok(checked.data) : err(convertZodError(checked.error, input));
};
