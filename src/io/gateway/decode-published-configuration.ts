import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod/mini';
import {convertZodError} from '../../common/convert-zod-error.js';
import type {FieldError} from '../../common/field-error.js';
import type {PublishedConfiguration} from '../../common/gateway/published-configuration.js';
import {unpackConfiguration} from './unpack-configuration.js';

const packedSchema = z.object({
	packed: z.string(),
	version: z.optional(z.int().check(z.nonnegative())),
	ageMs: z.number().check(z.nonnegative(), z.maximum(Number.MAX_SAFE_INTEGER)),
});

/**
Decodes a peer's answer to a call for its configuration; the error names the first invalid field. Returns undefined, without unpacking the
configuration, when its version is not above the one that is active by now.
@param version - Version that the configuration has to be newer than.
@param activeVersion - Version that is active by now.
*/
export const decodePublishedConfiguration = (value: unknown, version: number, activeVersion = version): Result<PublishedConfiguration | undefined, FieldError> => {
	const checked = packedSchema.safeParse(value);
	if (!checked.success) {
		const [error] = convertZodError(checked.error, value);
		return err(error ?? {field: '(root)', value: '', message: 'is invalid'});
	}

	const {packed, ageMs, version: packedVersion} = checked.data;
	if (packedVersion !== undefined && packedVersion > version && packedVersion <= activeVersion) {
		return ok(undefined);
	}

	return unpackConfiguration(packed).andThen((configuration): Result<PublishedConfiguration, FieldError> => configuration.version > version
		? ok({configuration, ageMs})
		: err({field: 'version', value: String(configuration.version), message: `must be above ${version}`}));
};
