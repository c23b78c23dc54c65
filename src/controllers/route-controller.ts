import type {MemberDirectory} from '../common/member-directory.js';
import {MemberState} from '../common/member-state.js';
import type {Member} from '../common/member.js';
import type {RouteAnswer} from '../common/route-answer.js';
import type {RouteSource} from '../common/route-source.js';
import type {ServiceCatalog} from '../common/service-catalog.js';

/** Answers which entry instances serve a service. */
export class RouteController implements RouteSource {
	constructor(
		private readonly _catalog: ServiceCatalog,
		private readonly _members: MemberDirectory,
		private readonly _lifetimeMs: number,
	) {}

	answerRoute(service: string, callerDomain: string | undefined): RouteAnswer | undefined {
		if (this._catalog.getService(service) === undefined) {
			return undefined;
		}

		const entries = this.listEntries(service);
		const near = entries.filter(member => member.instance.failureDomain === callerDomain);
		const far = entries.filter(member => member.instance.failureDomain !== callerDomain);
		const addresses = [...near, ...far].map(({instance}) => ({
			instanceId: instance.id, host: instance.host, port: instance.dataPort, failureDomain: instance.failureDomain,
		}));
		return {
			service,
			addresses,
			lifetimeMs: this._lifetimeMs,
			version: entries.map(member => `${member.instance.id}.${member.incarnation}`).join(','),
			stale: false,
			leaving: this._members.self.state === MemberState.Leaving,
		};
	}

	listEntries(_service: string): readonly Member[] {
		return this._members.listMembers().filter(member => member.state === MemberState.Alive);
	}
}
