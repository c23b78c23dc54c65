import type {MemberRestart} from '../../common/gateway/member-restart.js';
import {MemberState} from '../../common/gateway/member-state.js';
import type {NeighbourSet} from '../../common/gateway/neighbour-set.js';
import type {Logger} from '../../common/logger.js';

/** Logs restarts of neighbours; the other instances of a large fleet only count them. */
export const logNeighbourRestarts = (restarts: readonly MemberRestart[], neighbours: NeighbourSet, logger: Logger): void => {
	for (const {member, previous} of restarts.filter(restart => neighbours.all.some(({id}) => id === restart.member.id))) {
		logger.logInfo('member-restarted', {
			member: member.id,
			previous: MemberState[previous.state].toLowerCase(),
			incarnation: member.incarnation,
			previousIncarnation: previous.incarnation,
			sinceStartMs: member.incarnation - previous.incarnation,
		});
	}
};
