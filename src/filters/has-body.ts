import type {IncomingMessage} from 'node:http';

/** Whether the headers of a request announce a body. */
export const hasBody = ({headers}: IncomingMessage): boolean => headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
