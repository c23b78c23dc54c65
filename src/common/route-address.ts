/** One address that a caller may use for a service. */
export type RouteAddress = {
	readonly instanceId: string;
	readonly host: string;
	readonly port: number;
	readonly failureDomain: string;
};
