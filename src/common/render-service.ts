import {err, ok, type Result} from 'neverthrow';
import {convertZodError} from './convert-zod-error.js';
import type {FieldError} from './field-error.js';
import type {Parameters} from './parameters.js';
import {serviceSpecSchema} from './service-spec-schema.js';
import type {ServiceSpec} from './service-spec.js';
import type {Template} from './template.js';

type Json = Template['service'][string];
type Declaration = Template['parameters'][string];

const isReference = (value: Json): value is {parameter: string} => typeof value === 'object' && value !== null && !Array.isArray(value)
	&& Object.keys(value).length === 1 && typeof value.parameter === 'string';

const matchesType = (value: Json, type: Declaration['type']): boolean => {
	switch (type) {
		case 'integer': {
			return Number.isInteger(value);
		}

		case 'number': {
			return typeof value === 'number';
		}

		case 'string': {
			return typeof value === 'string';
		}

		case 'boolean': {
			return typeof value === 'boolean';
		}

		case 'list': {
			return Array.isArray(value);
		}
	}
};

const checkValue = (name: string, value: Json, declaration: Declaration): FieldError | undefined => {
	const field = `values.${name}`;
	const formattedValue = JSON.stringify(value).slice(0, 80);
	if (!matchesType(value, declaration.type)) {
		return {field, value: formattedValue, message: `must be of type ${declaration.type}`};
	}

	if (typeof value === 'number' && declaration.minimum !== undefined && value < declaration.minimum) {
		return {field, value: formattedValue, message: `must be at least ${declaration.minimum}`};
	}

	if (typeof value === 'number' && declaration.maximum !== undefined && value > declaration.maximum) {
		return {field, value: formattedValue, message: `must be at most ${declaration.maximum}`};
	}

	return undefined;
};

const collectValues = (template: Template, parameters: Parameters): Result<Map<string, Json>, FieldError[]> => {
	const errors: FieldError[] = [];
	const values = new Map<string, Json>();
	for (const [name, value] of Object.entries(parameters.values)) {
		const declaration = Object.hasOwn(template.parameters, name) ? template.parameters[name] : undefined;
		const error = declaration === undefined
			? {field: `values.${name}`, value: JSON.stringify(value).slice(0, 80), message: `template "${template.name}" declares no such parameter`}
			: checkValue(name, value, declaration);
		if (error === undefined) {
			values.set(name, value);
		} else {
			errors.push(error);
		}
	}

	for (const [name, declaration] of Object.entries(template.parameters)) {
		if (values.has(name) || Object.hasOwn(parameters.values, name)) {
			continue;
		}

		if (declaration.default === undefined) {
			errors.push({field: `values.${name}`, value: 'missing', message: `required by template "${template.name}": ${declaration.description}`});
		} else {
			values.set(name, declaration.default);
		}
	}

	return errors.length === 0 ? ok(values) : err(errors);
};

const fillIn = (value: Json, values: ReadonlyMap<string, Json>, errors: FieldError[], path: string): Json => {
	if (isReference(value)) {
		const filled = values.get(value.parameter);
		if (filled === undefined) {
			errors.push({field: `template.service.${path}`, value: JSON.stringify(value), message: `the template declares no parameter "${value.parameter}"`});
			return value;
		}

		return filled;
	}

	if (Array.isArray(value)) {
		return value.map((item, index) => fillIn(item, values, errors, `${path}[${index}]`));
	}

	if (typeof value === 'object' && value !== null) {
		return Object.fromEntries(Object.entries(value).map(([key, item]) => [key, fillIn(item, values, errors, `${path}.${key}`)]));
	}

	return value;
};

/** Substitutes a team's parameters into a template and validates the result; on failure returns an error for every invalid field. */
export const renderService = (template: Template, parameters: Parameters): Result<ServiceSpec, FieldError[]> => {
	const values = collectValues(template, parameters);
	if (values.isErr()) {
		return err(values.error);
	}

	const errors: FieldError[] = [];
	const filled = Object.fromEntries(Object.entries(template.service).map(([key, item]) => [key, fillIn(item, values.value, errors, key)]));
	if (errors.length > 0) {
		return err(errors);
	}

	const input = {
		...filled, name: parameters.service, team: parameters.team, template: template.name,
	};
	const checked = serviceSpecSchema.safeParse(input);
	return checked.success ? ok(checked.data) : err(convertZodError(checked.error, input));
};
