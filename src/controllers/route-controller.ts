import type {Clock} from '../common/clock.js';
import type {DisposableLike} from '../common/disposable-like.js';
import {DisposableStore} from '../common/disposable-store.js';
import type {MemberDirectory} from '../common/member-directory.js';
import {MemberState} from '../common/member-state.js';
import type {Member} from '../common/member.js';
import type {RouteResponse} from '../common/route-response.js';
import type {RouteResolver} from '../common/route-resolver.js';
import type {ServiceCatalog} from '../common/service-catalog.js';
import type {ServiceSpec} from '../common/service-spec.js';
import {computeHash} from '../policy/compute-hash.js';
import {advanceEntryCount} from '../policy/routes/advance-entry-count.js';
import {assignEntries} from '../policy/routes/assign-entries.js';
import {computeEntryCount} from '../policy/routes/compute-entry-count.js';
import type {EntryCountState} from '../policy/routes/entry-count-state.js';
import {sortEntries} from '../policy/routes/sort-entries.js';

type RouteOptions = {
	readonly catalog: ServiceCatalog;
	readonly members: MemberDirectory;
	readonly clock: Clock;
	/** Time for which callers may use a response, in ms. */
	readonly lifetimeMs: number;
	/** Number of entries per service; computed from the service's load when undefined. */
	readonly entriesPerService?: number | undefined;
	readonly maxEntriesPerService: number;
	/** Number of target slots that one entry serves. */
	readonly slotsPerEntry: number;
	/** Whether the instance list is stale. */
	readonly isListStale: () => boolean;
};

/** Maximum age of an assignment, in ms; it expires without an event because the number of entries also depends on time. */
const maxAssignmentAgeMs = 5000;

const computeLoad = (service: ServiceSpec): number => service.slotsPerTarget * Math.max(1, service.targets.length);

/** Assigns entry instances to services and resolves the addresses of a service's entries. */
export class RouteController implements RouteResolver, DisposableLike {
	private readonly _store = new DisposableStore();
	private readonly _counts = new Map<string, EntryCountState>();
	private _entries = new Map<string, Member[]>();
	private _validUntil = Number.NEGATIVE_INFINITY;
	private _sequence = 0;

	constructor(private readonly _options: RouteOptions) {
		const invalidate = () => {
			this._validUntil = Number.NEGATIVE_INFINITY;
		};

		this._store.add(_options.members.onMembersChanged(invalidate));
		this._store.add(_options.catalog.onServiceChanged(invalidate));
		this._store.add(_options.catalog.onServiceRemoved(invalidate));
	}

	resolveRoute(service: string, callerDomain: string | undefined): RouteResponse | undefined {
		if (this._options.catalog.getService(service) === undefined) {
			return undefined;
		}

		const entries = this.listEntries(service);
		const sorted = sortEntries(entries.map(member => ({id: member.instance.id, failureDomain: member.instance.failureDomain, member})), {
			callerDomain, domainCount: this._listDomains().size, sequence: this._sequence++,
		}).map(({member}) => member);
		// A suspect stays in the list until it is declared dead, but callers should not contact it first.
		const ordered = [...sorted.filter(member => member.state === MemberState.Alive), ...sorted.filter(member => member.state !== MemberState.Alive)];
		return {
			service,
			addresses: ordered.map(({instance}) => ({
				instanceId: instance.id, host: instance.host, port: instance.dataPort, failureDomain: instance.failureDomain,
			})),
			lifetimeMs: this._options.lifetimeMs,
			version: this._computeVersion(entries),
			stale: this._options.isListStale(),
			leaving: this._options.members.self.state === MemberState.Leaving,
		};
	}

	listEntries(service: string): readonly Member[] {
		const now = this._options.clock.now();
		if (now >= this._validUntil) {
			this._assignAll(now);
		}

		return this._entries.get(service) ?? [];
	}

	dispose(): void {
		this._store.dispose();
	}

	private _assignAll(now: number): void {
		const members = this._listEligible();
		const domainCount = this._listDomains().size;
		const demands = this._options.catalog.listServices().map(service => {
			const load = computeLoad(service);
			return {name: service.name, load, entryCount: this._computeCount(service.name, load, domainCount, now)};
		});
		const assigned = assignEntries(demands, members.map(member => ({id: member.instance.id, failureDomain: member.instance.failureDomain, member})));
		this._entries = new Map([...assigned].map(([name, entries]) => [name, entries.map(({member}) => member)]));
		this._validUntil = now + maxAssignmentAgeMs;
	}

	private _computeCount(service: string, load: number, domainCount: number, now: number): number {
		const {entriesPerService, maxEntriesPerService, slotsPerEntry} = this._options;
		if (entriesPerService !== undefined) {
			return Math.min(entriesPerService, maxEntriesPerService);
		}

		const wanted = computeEntryCount(load, domainCount, {loadPerEntry: slotsPerEntry, maxEntries: maxEntriesPerService});
		const state = advanceEntryCount(this._counts.get(service), wanted, now);
		this._counts.set(service, state);
		return state.count;
	}

	private _listEligible(): readonly Member[] {
		return this._options.members.listMembers().filter(({state}) => state === MemberState.Alive || state === MemberState.Suspect);
	}

	private _listDomains(): Set<string> {
		return new Set(this._listEligible().map(member => member.instance.failureDomain));
	}

	private _computeVersion(entries: readonly Member[]): string {
		const text = entries.map(({instance, incarnation}) => `${instance.id}/${incarnation}/${instance.host}:${instance.dataPort}`).sort().join(' ');
		return computeHash(text).toString(16).padStart(8, '0');
	}
}
