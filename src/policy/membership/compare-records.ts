import {MemberState} from '../../common/member-state.js';
import type {MemberRecord} from './member-record.js';

const stateOrder: Readonly<Record<MemberState, number>> = {
	[MemberState.Alive]: 0,
	[MemberState.Suspect]: 1,
	[MemberState.Leaving]: 2,
	[MemberState.Dead]: 3,
};

type RecordVersion = Pick<MemberRecord, 'incarnation' | 'sequence' | 'state'>;

/** Compares two records of one instance; the result is positive when the first one is newer. */
export const compareRecords = (a: RecordVersion, b: RecordVersion): number =>
	a.incarnation - b.incarnation || a.sequence - b.sequence || stateOrder[a.state] - stateOrder[b.state];
