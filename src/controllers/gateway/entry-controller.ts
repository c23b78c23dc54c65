import type {EntryAnswer} from '../../common/gateway/entry-answer.js';
import type {EntryQuestion} from '../../common/gateway/entry-question.js';
import {chooseEntryMembers} from '../../policy/gateway/choose-entry-members.js';
import type {MemberController} from './member-controller.js';
import type {SiteView} from './site-view.js';

type EntryControllerOptions = {
	readonly members: MemberController;
	readonly view: SiteView;
	/** Used when a caller does not say where it is. */
	readonly failureDomain: string;
};

/** Instances that callers of one service are sent to, in each failure domain. */
const entriesPerService = 1;
/** Time for which an answer holds, in ms; callers keep it up to three times as long, so it bounds how long a lost instance is tried. */
const lifetimeMs = 1000;

/** Answers which instances callers should connect to. */
export class EntryController {
	constructor(private readonly _options: EntryControllerOptions) {}

	answer(question: EntryQuestion): EntryAnswer {
		const {members, failureDomain} = this._options;
		const domain = question.failureDomain === '' ? failureDomain : question.failureDomain;
		const serving = members.listServing(domain);
		const chosen = chooseEntryMembers(this._findKey(question.host), serving, entriesPerService);
		return {addresses: chosen.map(member => member.dataAddress), lifetimeMs};
	}

	/** Callers of one host name share entries by the service of its first route. */
	private _findKey(host: string): string {
		const route = this._options.view.configuration?.routes.find(candidate => candidate.host === host.toLowerCase());
		return route?.shares[0]?.service ?? host;
	}
}
