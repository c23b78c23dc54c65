/** Statuses of responses that never have a body (RFC 9110, section 6.4.1). */
const bodilessStatuses = new Set([204, 304]);

/** Whether a response ends with its head, by the method of its request or by its status. */
export const hasNoBody = (method: string, status: number): boolean => method === 'HEAD' || bodilessStatuses.has(status);
