import type {Event} from './event.js';
import type {ServiceSpec} from './service-spec.js';

/** The services that are active at this instance. */
export type ServiceCatalog = {
	/** Fires with the new specification after a service was added or changed. */
	readonly onServiceChanged: Event<ServiceSpec>;
	/** Fires with the name after a service was removed. */
	readonly onServiceRemoved: Event<string>;
	getService(name: string): ServiceSpec | undefined;
	listServices(): readonly ServiceSpec[];
};
