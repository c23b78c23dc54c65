import type {MemberState} from '../../common/gateway/member-state.js';

/** A member's record as its values in turn; names of fields would double its bytes. */
export type EncodedMember = readonly [
	id: string,
	failureDomain: string,
	dataAddress: string,
	peerAddress: string,
	cores: number,
	incarnation: number,
	revision: number,
	state: MemberState,
	isServing: boolean,
	canRead: boolean,
];
