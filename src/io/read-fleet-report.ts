import {request} from 'undici';
import type {FleetReport} from '../common/fleet-report.js';
import type {FleetStatus} from '../common/fleet-status.js';
import {MemberState} from '../common/member-state.js';
import {buildFleetReport} from '../policy/status/build-fleet-report.js';

const askTimeoutMs = 2000;

const askStatus = async (host: string, port: number): Promise<FleetStatus | undefined> => {
	try {
		const answer = await request(`http://${host}:${port}/`, {headersTimeout: askTimeoutMs, bodyTimeout: askTimeoutMs, signal: AbortSignal.timeout(askTimeoutMs)});
		return await answer.body.json() as FleetStatus;
	} catch {
		return undefined;
	}
};

/** Asks one instance's operator port, then every member that it knows; undefined when it does not answer. */
export const readFleetReport = async (host: string, port: number): Promise<FleetReport | undefined> => {
	const first = await askStatus(host, port);
	if (first === undefined) {
		return undefined;
	}

	const others = first.members.filter(({instance, state}) => state !== MemberState.Dead && instance.id !== first.self.instance.id);
	const answers = await Promise.all(others.map(async ({instance}) => askStatus(instance.host, instance.operatorPort)));
	const statuses = [first, ...answers.filter(answer => answer !== undefined)].sort((a, b) => a.self.instance.id.localeCompare(b.self.instance.id, 'en', {numeric: true}));
	return buildFleetReport(statuses, [first.self.instance.id, ...others.map(({instance}) => instance.id)]);
};
