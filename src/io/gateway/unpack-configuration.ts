import {Buffer} from 'node:buffer';
import {inflateRawSync} from 'node:zlib';
import {fromThrowable, type Result} from 'neverthrow';
import type {GatewayConfiguration} from '../../common/gateway/gateway-configuration.js';

/** Maximum size of a decompressed configuration; registry values are at most 1 MiB, and this format has longer field names than the registry's. */
const maxConfigurationBytes = 4 * 1_048_576;

/** Decodes a configuration from its wire format; fails when the text is not compressed JSON or is too large. */
export const unpackConfiguration = (text: string): Result<GatewayConfiguration, Error> => fromThrowable(
	() => JSON.parse(inflateRawSync(Buffer.from(text, 'base64'), {maxOutputLength: maxConfigurationBytes}).toString('utf8')) as GatewayConfiguration,
	error => error as Error,
)();
