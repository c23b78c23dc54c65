import {Buffer} from 'node:buffer';
import {deflateRawSync} from 'node:zlib';
import type {GatewayConfiguration} from '../../common/gateway/gateway-configuration.js';
import {packedConfigurations} from './packed-configurations.js';

/** Encodes a configuration for the wire: compressed JSON, since names and limits of routes repeat, as base64. The result is cached per configuration object. */
export const packConfiguration = (configuration: GatewayConfiguration): string => {
	let text = packedConfigurations.get(configuration);
	if (text === undefined) {
		text = deflateRawSync(Buffer.from(JSON.stringify(configuration)), {level: 1}).toString('base64');
		packedConfigurations.set(configuration, text);
	}

	return text;
};
