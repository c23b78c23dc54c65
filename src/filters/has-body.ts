import type {IncomingMessage} from 'node:http';

/** Whether a request carries a body. */
export const hasBody = ({headers}: IncomingMessage): boolean => headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
