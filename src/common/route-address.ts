/** Address at which a caller may reach a service. */
export type RouteAddress = {
	readonly instanceId: string;
	readonly host: string;
	readonly port: number;
	readonly failureDomain: string;
};
