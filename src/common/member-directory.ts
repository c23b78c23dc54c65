import type {Event} from './event.js';
import type {Member} from './member.js';

/** This instance's view of the entry instances. */
export type MemberDirectory = {
	/** The member record of this instance. */
	readonly self: Member;
	/** Published maximum number of instances that run at the same time. */
	readonly maxInstances: number;
	readonly onMembersChanged: Event<readonly Member[]>;
	/** Lists all known members except dead ones, including this instance. */
	listMembers(): readonly Member[];
};
