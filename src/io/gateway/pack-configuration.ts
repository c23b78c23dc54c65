import {Buffer} from 'node:buffer';
import {deflateRawSync} from 'node:zlib';
import type {GatewayConfiguration} from '../../common/gateway/gateway-configuration.js';

const packed = new WeakMap<GatewayConfiguration, string>();

/** Writes a configuration for the wire, compressed: the names and limits of its routes repeat. Done once for each configuration. */
export const packConfiguration = (configuration: GatewayConfiguration): string => {
	let text = packed.get(configuration);
	if (text === undefined) {
		text = deflateRawSync(Buffer.from(JSON.stringify(configuration)), {level: 1}).toString('base64');
		packed.set(configuration, text);
	}

	return text;
};
