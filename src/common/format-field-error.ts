import type {FieldError} from './field-error.js';

/** Formats a refused value as one line: where, which field, the value, what is allowed. */
export const formatFieldError = (place: string, error: FieldError): string => `${place}: ${error.field}: ${error.value}: ${error.message}\n`;
