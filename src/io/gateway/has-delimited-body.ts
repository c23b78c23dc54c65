import type {IncomingMessage} from 'node:http';

/** Whether the body of a response is delimited by Content-Length or Transfer-Encoding; otherwise it ends when the connection closes. */
export const hasDelimitedBody = ({headers}: IncomingMessage): boolean => headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
