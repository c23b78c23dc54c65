import type {FieldError} from '../../common/field-error.js';

/** A configuration value that failed validation and was not activated. */
export type RefusedValue = {
	readonly key: string;
	readonly revision: number;
	readonly errors: readonly FieldError[];
};
