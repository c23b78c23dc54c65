/**
Computes how many connections one instance may hold to a target so that all instances together stay within the target's limit.
@param connectionsPerTarget - Limit of the target for the whole fleet.
@param maxInstances - Maximum number of instances that run at the same time.
*/
export const computeConnectionShare = (connectionsPerTarget: number, maxInstances: number): number => Math.floor(connectionsPerTarget / Math.max(1, maxInstances));
