import type {FieldError} from './field-error.js';

/**
Formats a field error as one line.
@param location - Name of the file or value that contains the field.
*/
export const formatFieldError = (location: string, error: FieldError): string => `${location}: ${error.field}: ${error.value}: ${error.message}\n`;
