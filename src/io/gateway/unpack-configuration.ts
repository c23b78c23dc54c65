import {Buffer} from 'node:buffer';
import {inflateRawSync} from 'node:zlib';
import {
	err, fromThrowable, ok, type Result,
} from 'neverthrow';
import {convertZodError} from '../../common/convert-zod-error.js';
import type {FieldError} from '../../common/field-error.js';
import {gatewayConfigurationSchema} from '../../common/gateway/gateway-configuration-schema.js';
import type {GatewayConfiguration} from '../../common/gateway/gateway-configuration.js';
import {parseBoundedJson} from '../../common/parse-bounded-json.js';
import {packedConfigurations} from './packed-configurations.js';

/** Maximum size of a decompressed configuration; registry values are at most 1 MiB, and this format has longer field names than the registry's. */
const maxConfigurationBytes = 4 * 1_048_576;

const parsePacked = fromThrowable(
	(text: string) => parseBoundedJson(inflateRawSync(Buffer.from(text, 'base64'), {maxOutputLength: maxConfigurationBytes}).toString('utf8')),
	(error): FieldError => ({field: 'packed', value: '', message: `must be compressed JSON: ${(error as Error).message}`}),
);

/** Decodes a configuration from its wire format; the error names the first invalid field. */
export const unpackConfiguration = (text: string): Result<GatewayConfiguration, FieldError> => parsePacked(text).andThen(value => {
	const checked = gatewayConfigurationSchema.safeParse(value);
	if (checked.success) {
		packedConfigurations.set(checked.data, text);
		return ok(checked.data);
	}

	const [error] = convertZodError(checked.error, value);
	return err(error ?? {field: '(root)', value: '', message: 'is invalid'});
});
