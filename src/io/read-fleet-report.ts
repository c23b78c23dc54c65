import {request} from 'undici';
import type {FleetReport} from '../common/fleet-report.js';
import type {FleetStatus} from '../common/fleet-status.js';
import {MemberState} from '../common/member-state.js';
import {buildFleetReport} from '../policy/status/build-fleet-report.js';

const statusTimeoutMs = 2000;

const fetchStatus = async (host: string, port: number): Promise<FleetStatus | undefined> => {
	try {
		const response = await request(`http://${host}:${port}/`, {headersTimeout: statusTimeoutMs, bodyTimeout: statusTimeoutMs, signal: AbortSignal.timeout(statusTimeoutMs)});
		return await response.body.json() as FleetStatus;
	} catch {
		return undefined;
	}
};

/** Reads the status of one instance from its operator port, then that of every other member it does not consider dead; undefined when the first does not respond. */
export const readFleetReport = async (host: string, port: number): Promise<FleetReport | undefined> => {
	const firstStatus = await fetchStatus(host, port);
	if (firstStatus === undefined) {
		return undefined;
	}

	const others = firstStatus.members.filter(({instance, state}) => state !== MemberState.Dead && instance.id !== firstStatus.self.instance.id);
	const otherStatuses = await Promise.all(others.map(async ({instance}) => fetchStatus(instance.host, instance.operatorPort)));
	const statuses = [firstStatus, ...otherStatuses.filter(status => status !== undefined)].sort((a, b) => a.self.instance.id.localeCompare(b.self.instance.id, 'en', {numeric: true}));
	return buildFleetReport(statuses, [firstStatus.self.instance.id, ...others.map(({instance}) => instance.id)]);
};
