import type {MemberState} from '../../common/gateway/member-state.js';

/** Wire format of a member: a tuple of its values, since field names would double its size. */
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
