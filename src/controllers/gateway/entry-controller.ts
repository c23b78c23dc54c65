import type {GatewaySettings} from '../../common/gateway/gateway-settings.js';
import type {ResolveResponse} from '../../common/gateway/resolve-response.js';
import type {ResolveRequest} from '../../common/gateway/resolve-request.js';
import {addressTtlMs} from '../../policy/gateway/address-ttl-ms.js';
import {assignEntries} from '../../policy/gateway/assign-entries.js';
import type {GatewayMember} from '../../common/gateway/gateway-member.js';
import {computeTrafficFactor} from '../../policy/gateway/compute-traffic-factor.js';
import {groupHosts} from '../../policy/gateway/group-hosts.js';
import type {HostGroup} from '../../policy/gateway/host-group.js';
import {limitEntries} from '../../policy/gateway/limit-entries.js';
import type {MemberController} from './member-controller.js';
import type {SiteView} from './site-view.js';

type EntryControllerOptions = {
	readonly members: Pick<MemberController, 'listServing' | 'changeNumber'>;
	readonly view: SiteView;
	/** The own failure domain is assumed for a caller that does not state its own; the callers of all share the targets. */
	readonly settings: Pick<GatewaySettings, 'instance' | 'failureDomains'>;
};

type Assignment = {
	/** Number of the last change of the member table on which the assignment is based. */
	readonly changeNumber: number;
	readonly serving: readonly GatewayMember[];
	readonly entries: ReadonlyMap<string, readonly GatewayMember[]>;
};

/** Assignments that are cached, one per failure domain. The limit is needed since callers may name any failure domain. */
const maxCachedAssignments = 64;

/** Addresses in one response; callers accept no more. */
const maxAddresses = 64;

/** Resolves a host name to the instances that a caller should connect to: those in its failure domain that are assigned to the host name. */
export class EntryController {
	private _groups: HostGroup[] = [];
	private readonly _assignments = new Map<string, Assignment>();

	constructor(private readonly _options: EntryControllerOptions) {
		const {view} = _options;
		const update = () => {
			this._groups = this._groupHosts();
			this._assignments.clear();
		};

		view.onConfiguration(update);
		view.onTargets(update);
	}

	/** Resolves a caller's request to the data addresses of instances and their time to live. */
	resolve(request: ResolveRequest): ResolveResponse {
		const {serving, entries} = this._getAssignment(request.failureDomain === '' ? this._options.settings.instance.failureDomain : request.failureDomain);
		const assigned = entries.get(request.host.toLowerCase()) ?? serving;
		return {addresses: assigned.slice(0, maxAddresses).map(member => member.dataAddress), lifetimeMs: addressTtlMs};
	}

	/** Computes the share of this instance in limits on the requests to a service, as a factor of an equal share in its failure domain. */
	computeTrafficFactor(service: string): number {
		const {instance} = this._options.settings;
		const {serving, entries} = this._getAssignment(instance.failureDomain);
		const group = this._groups.find(({services}) => services.includes(service));
		const assigned = group === undefined ? serving : entries.get(group.name) ?? serving;
		return computeTrafficFactor({isEntry: assigned.some(({id}) => id === instance.id), entryCount: assigned.length, instanceCount: serving.length});
	}

	/** Gets the assignment of host names to the instances of a failure domain, cached until configuration, targets or instances change. */
	private _getAssignment(failureDomain: string): Assignment {
		const {members} = this._options;
		const cached = this._assignments.get(failureDomain);
		if (cached?.changeNumber === members.changeNumber) {
			return cached;
		}

		const serving = members.listServing(failureDomain);
		const assignment = {changeNumber: members.changeNumber, serving, entries: this._assignEntries(serving)};
		if (this._assignments.size >= maxCachedAssignments) {
			this._assignments.clear();
		}

		this._assignments.set(failureDomain, assignment);
		return assignment;
	}

	private _assignEntries(serving: readonly GatewayMember[]): Map<string, readonly GatewayMember[]> {
		const assigned = assignEntries(this._groups, serving);
		const entries = new Map<string, readonly GatewayMember[]>();
		for (const {name, hosts, slots} of this._groups) {
			const limited = limitEntries(name, assigned.get(name) ?? [], slots / this._options.settings.failureDomains.length);
			for (const host of hosts) {
				entries.set(host, limited);
			}
		}

		return entries;
	}

	private _groupHosts(): HostGroup[] {
		const {configuration, targets} = this._options.view;
		const slots = new Map<string, number>();
		for (const target of targets) {
			slots.set(target.service, (slots.get(target.service) ?? 0) + target.slots);
		}

		const services = new Map<string, Set<string>>();
		for (const {host, shares} of configuration?.routes ?? []) {
			const hostServices = services.get(host) ?? new Set();
			services.set(host, hostServices);
			for (const {service} of shares) {
				hostServices.add(service);
			}
		}

		return groupHosts([...services].map(([host, names]) => ({host, services: [...names]})), slots);
	}
}
