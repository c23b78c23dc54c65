import {Buffer} from 'node:buffer';
import {inflateRawSync} from 'node:zlib';
import {fromThrowable, type Result} from 'neverthrow';
import type {GatewayConfiguration} from '../../common/gateway/gateway-configuration.js';

/** Largest configuration that is taken, in bytes; the registry's values are at most 1 MiB, and field names here are longer. */
const maxBytes = 4 * 1_048_576;

/** Reads a configuration from the wire; an error says why the bytes are none. */
export const unpackConfiguration = (text: string): Result<GatewayConfiguration, Error> => fromThrowable(
	() => JSON.parse(inflateRawSync(Buffer.from(text, 'base64'), {maxOutputLength: maxBytes}).toString('utf8')) as GatewayConfiguration,
	error => error as Error,
)();
