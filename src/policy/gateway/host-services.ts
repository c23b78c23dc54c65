/** A host name with the services that its requests go to. */
export type HostServices = {
	readonly host: string;
	readonly services: readonly string[];
};
