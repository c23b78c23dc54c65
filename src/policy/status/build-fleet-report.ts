import type {FleetReport} from '../../common/fleet-report.js';
import type {FleetStatus} from '../../common/fleet-status.js';
import {MemberState} from '../../common/member-state.js';

const groupBy = <T>(items: readonly T[], getValue: (item: T) => string, getName: (item: T) => string): Map<string, string[]> => {
	const groups = new Map<string, string[]>();
	for (const item of items) {
		const value = getValue(item);
		groups.set(value, [...(groups.get(value) ?? []), getName(item)]);
	}

	return groups;
};

const describeGroups = (subject: string, groups: ReadonlyMap<string, readonly string[]>): string[] =>
	groups.size <= 1 ? [] : [`${subject}: ${[...groups].map(([value, names]) => `${value} at ${names.join(', ')}`).join('; ')}`];

const getInstanceId = (status: FleetStatus): string => status.self.instance.id;

const compareServices = (statuses: readonly FleetStatus[]): string[] => {
	const names = new Set(statuses.flatMap(status => status.services.map(({name}) => name)));
	return [...names].sort().flatMap(name => describeGroups(`service ${name}`, groupBy(statuses, status => {
		const service = status.services.find(item => item.name === name);
		return service === undefined ? 'missing' : `parameters ${service.parametersRevision} with ${service.template} ${service.templateRevision}`;
	}, getInstanceId)));
};

const compareKeys = (statuses: readonly FleetStatus[]): string[] => {
	const keys = new Set(statuses.flatMap(status => Object.keys(status.revisions)));
	return [...keys].sort().flatMap(key => describeGroups(`key ${key}`, groupBy(statuses, status => `revision ${status.revisions[key] ?? 'none'}`, getInstanceId)));
};

const compareMembers = (statuses: readonly FleetStatus[]): string[] => {
	const ids = new Set(statuses.flatMap(status => status.members.map(({instance}) => instance.id)));
	return [...ids].sort().flatMap(id => describeGroups(`instance ${id}`, groupBy(statuses, status => {
		const state = status.members.find(({instance}) => instance.id === id)?.state;
		// Instances remove a dead instance at different times, which is not a disagreement.
		return state === undefined || state === MemberState.Dead ? 'gone' : state;
	}, getInstanceId)));
};

/**
Builds a report from the statuses of the instances and compares their views.
@param statuses - Statuses of the instances that responded.
@param queriedIds - Ids of all queried instances.
*/
export const buildFleetReport = (statuses: readonly FleetStatus[], queriedIds: readonly string[]): FleetReport => {
	const respondedIds = new Set(statuses.map(status => getInstanceId(status)));
	const refused = new Set(statuses.flatMap(status => status.refused.map(({key, revision, errors}) => {
		const reasons = errors.map(({field, value, message}) => `${field} = ${value}: ${message}`);
		return `${key} revision ${revision}: ${reasons.join('; ')}`;
	})));
	return {
		instances: statuses,
		silent: queriedIds.filter(id => !respondedIds.has(id)),
		disagreements: [...compareMembers(statuses), ...compareKeys(statuses), ...compareServices(statuses)],
		refused: [...refused].sort(),
		budget: {
			callsPerSecond: statuses.reduce((sum, status) => sum + status.platform.callsPerSecond, 0),
			watchLimit: statuses.reduce((sum, status) => sum + status.platform.watchLimit, 0),
			watches: statuses.reduce((sum, status) => sum + status.platform.watchedKeys.length, 0),
		},
	};
};
