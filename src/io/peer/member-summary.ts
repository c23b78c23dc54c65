import type {MemberState} from '../../common/member-state.js';

/** The version of one member record, without its content. */
export type MemberSummary = {
	readonly id: string;
	readonly incarnation: number;
	readonly sequence: number;
	readonly state: MemberState;
};
