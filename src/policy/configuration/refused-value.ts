import type {FieldError} from '../../common/field-error.js';

/** A value that was not put in force, with the reasons. */
export type RefusedValue = {
	readonly key: string;
	readonly revision: number;
	readonly errors: readonly FieldError[];
};
