import type {EntryAnswer} from '../../common/gateway/entry-answer.js';
import type {EntryQuestion} from '../../common/gateway/entry-question.js';
import {assignEntries} from '../../policy/gateway/assign-entries.js';
import type {HostSize} from '../../policy/gateway/host-size.js';
import type {MemberController} from './member-controller.js';
import type {SiteView} from './site-view.js';

type EntryControllerOptions = {
	readonly members: MemberController;
	readonly view: SiteView;
	/** Used when a caller does not say where it is. */
	readonly failureDomain: string;
};

/** Time for which an answer holds, in ms; callers keep it up to three times as long, so it bounds how long a lost instance is tried. */
const lifetimeMs = 1000;

/** Addresses of one answer; callers take no more. */
const maxAddresses = 64;

const sumSlots = (services: ReadonlySet<string>, slots: ReadonlyMap<string, number>): number => {
	let sum = 0;
	for (const service of services) {
		sum += slots.get(service) ?? 0;
	}

	return sum;
};

/** Answers which instances callers should connect to: those of their failure domain that serve the host name. */
export class EntryController {
	constructor(private readonly _options: EntryControllerOptions) {}

	answer(question: EntryQuestion): EntryAnswer {
		const {members, failureDomain} = this._options;
		const serving = members.listServing(question.failureDomain === '' ? failureDomain : question.failureDomain);
		const assigned = assignEntries(this._measureHosts(), serving).get(question.host.toLowerCase()) ?? serving;
		return {addresses: assigned.slice(0, maxAddresses).map(member => member.dataAddress), lifetimeMs};
	}

	/** Slots behind each host name: the targets of all services that its routes lead to. */
	private _measureHosts(): HostSize[] {
		const {configuration, targets} = this._options.view;
		const slots = new Map<string, number>();
		for (const target of targets) {
			slots.set(target.service, (slots.get(target.service) ?? 0) + target.slots);
		}

		const services = new Map<string, Set<string>>();
		for (const {host, shares} of configuration?.routes ?? []) {
			const known = services.get(host) ?? new Set();
			services.set(host, known);
			for (const {service} of shares) {
				known.add(service);
			}
		}

		return [...services].map(([name, names]) => ({name, slots: sumSlots(names, slots)}));
	}
}
