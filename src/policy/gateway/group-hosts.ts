import type {HostGroup} from './host-group.js';
import type {HostServices} from './host-services.js';

type Component = {readonly hosts: string[]; readonly services: Set<string>};

const compareTexts = (a: string, b: string): number => a < b ? -1 : 1;

/**
Groups host names that share a service. Requests for the same targets then spread over the same instances: with instances of its own for each
host name, one with little traffic takes as many of them as one with most of the traffic.
@param slots - Number of slots of each service's targets.
*/
export const groupHosts = (hosts: readonly HostServices[], slots: ReadonlyMap<string, number>): HostGroup[] => {
	let components: Component[] = [];
	for (const {host, services} of hosts) {
		const joined = components.filter(component => services.some(service => component.services.has(service)));
		const merged = {
			hosts: [host, ...joined.flatMap(component => component.hosts)],
			services: new Set([...services, ...joined.flatMap(component => [...component.services])]),
		};
		components = [...components.filter(component => !joined.includes(component)), merged];
	}

	return components.map(component => {
		const sortedHosts = component.hosts.sort(compareTexts);
		let sum = 0;
		for (const service of component.services) {
			sum += slots.get(service) ?? 0;
		}

		return {
			name: sortedHosts[0] ?? '', hosts: sortedHosts, services: [...component.services].sort(compareTexts), slots: sum,
		};
	});
};
