import type {EntryAnswer} from '../../common/gateway/entry-answer.js';
import type {EntryQuestion} from '../../common/gateway/entry-question.js';
import {assignEntries} from '../../policy/gateway/assign-entries.js';
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

/** Answers which instances callers should connect to: those of their failure domain that serve the service of the host. */
export class EntryController {
	constructor(private readonly _options: EntryControllerOptions) {}

	answer(question: EntryQuestion): EntryAnswer {
		const {members, view, failureDomain} = this._options;
		const serving = members.listServing(question.failureDomain === '' ? failureDomain : question.failureDomain);
		const services = this._measureServices();
		const route = view.configuration?.routes.find(candidate => candidate.host === question.host.toLowerCase());
		const assigned = assignEntries(services, serving).get(route?.shares[0]?.service ?? '') ?? serving;
		return {addresses: assigned.map(member => member.dataAddress), lifetimeMs};
	}

	private _measureServices(): Array<{name: string; slots: number}> {
		const slots = new Map((this._options.view.configuration?.services ?? []).map(({name}) => [name, 0]));
		for (const target of this._options.view.targets) {
			const counted = slots.get(target.service);
			if (counted !== undefined) {
				slots.set(target.service, counted + target.slots);
			}
		}

		return [...slots].map(([name, count]) => ({name, slots: count}));
	}
}
