/**
Connections that one instance may hold to a target, so that all together stay within the target's limit.
@param connectionsPerTarget - The limit of the target for the whole fleet.
@param maxInstances - Upper bound of instances that run at the same time.
*/
export const computeConnectionShare = (connectionsPerTarget: number, maxInstances: number): number => Math.floor(connectionsPerTarget / Math.max(1, maxInstances));
