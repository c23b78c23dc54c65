import type {IncomingMessage} from 'node:http';

/** Whether an answer states its end by a length or by chunks; one that does not ends with its connection. */
export const hasStatedEnd = ({headers}: IncomingMessage): boolean => headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
