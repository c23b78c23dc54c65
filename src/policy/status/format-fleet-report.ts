import type {FleetReport} from '../../common/fleet-report.js';
import type {FleetStatus} from '../../common/fleet-status.js';
import {MemberState} from '../../common/member-state.js';

const columns = ['instance', 'domain', 'state', 'live', 'suspects', 'leaving', 'services', 'newest', 'refused', 'reads', 'last read'] as const;

const countState = (status: FleetStatus, state: MemberState): string => String(status.members.filter(member => member.state === state).length);

const formatRow = (status: FleetStatus): string[] => [
	status.self.instance.id,
	status.self.instance.failureDomain,
	status.self.state,
	countState(status, MemberState.Alive),
	countState(status, MemberState.Suspect),
	countState(status, MemberState.Leaving),
	String(status.services.length),
	String(Math.max(0, ...Object.values(status.revisions))),
	String(status.refused.length),
	status.platform.watchedKeys.join(' ') || '-',
	status.platform.readAgeMs === undefined ? 'never' : `${(status.platform.readAgeMs / 1000).toFixed(1)} s${status.platform.isStale ? ' stale' : ''}`,
];

const formatList = (title: string, items: readonly string[]): string[] => items.length === 0 ? [`${title}: none`] : [`${title}:`, ...items.map(item => `  ${item}`)];

/** Formats a report for the terminal, as a table and lists. */
export const formatFleetReport = (report: FleetReport): string => {
	const rows = [[...columns], ...report.instances.map(status => formatRow(status))];
	const widths = columns.map((_, index) => Math.max(...rows.map(row => row[index]?.length ?? 0)));
	const table = rows.map(row => row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd());
	const {watches, watchLimit, callsPerSecond} = report.budget;
	return [
		...table,
		'',
		...formatList('silent', report.silent),
		...formatList('disagreements', report.disagreements),
		...formatList('refused values', report.refused),
		`read budget: ${watches} of ${watchLimit} watches open, at most ${callsPerSecond.toFixed(0)} calls a second`,
		'',
	].join('\n');
};
