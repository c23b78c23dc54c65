import type {Event} from './event.js';
import type {Member} from './member.js';

/** The entry instances as this instance sees them. */
export type MemberDirectory = {
	/** This instance. */
	readonly self: Member;
	/** Published upper bound of instances that run at the same time. */
	readonly maxInstances: number;
	readonly onMembersChanged: Event<readonly Member[]>;
	/** Every known member, this instance included; dead ones left out. */
	listMembers(): readonly Member[];
};
