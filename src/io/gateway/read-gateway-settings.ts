import {err, ok, type Result} from 'neverthrow';
import {convertZodError} from '../../common/convert-zod-error.js';
import type {FieldError} from '../../common/field-error.js';
import {gatewaySettingsSchema} from '../../common/gateway/gateway-settings-schema.js';
import type {GatewaySettings} from '../../common/gateway/gateway-settings.js';
import {readJsonFile} from '../read-json-file.js';

type Decoded = {readonly settings: GatewaySettings};

/**
Reads the settings of a gateway from a file, decodes and validates them; each error states the field, its value and what is allowed.
@param decode - Converts the content of the file, in the form of the site, to settings and notes on them.
*/
export const readGatewaySettings = <T extends Decoded>(file: string, decode: (input: unknown) => Result<T, FieldError[]>): Result<T, FieldError[]> => {
	const input = readJsonFile(file);
	if (input.isErr()) {
		return err([input.error]);
	}

	return decode(input.value).andThen(decoded => {
		const checked = gatewaySettingsSchema.safeParse(decoded.settings);
		return checked.success ? ok({...decoded, settings: checked.data}) : err(convertZodError(checked.error, decoded.settings));
	});
};
