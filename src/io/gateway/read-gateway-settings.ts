import {err, ok, type Result} from 'neverthrow';
import {convertZodError} from '../../common/convert-zod-error.js';
import type {FieldError} from '../../common/field-error.js';
import {gatewaySettingsSchema} from '../../common/gateway/gateway-settings-schema.js';
import type {GatewaySettings} from '../../common/gateway/gateway-settings.js';
import {readJsonFile} from '../read-json-file.js';

/** Reads and validates the settings of a gateway; each error states the field, its value and what is allowed. */
export const readGatewaySettings = (file: string): Result<GatewaySettings, FieldError[]> => {
	const input = readJsonFile(file);
	if (input.isErr()) {
		return err([input.error]);
	}

	const checked = gatewaySettingsSchema.safeParse(input.value);
	return checked.success ? ok(checked.data) : err(convertZodError(checked.error, input.value));
};
