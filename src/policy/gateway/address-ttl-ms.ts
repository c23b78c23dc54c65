/** Time to live of the addresses in a resolve response, in ms. Callers cache them for up to three times as long, which bounds how long they connect to a lost instance. */
export const addressTtlMs = 5000;
