import {CallOutcome} from '../load/callers/call-outcome.js';
import type {CallSample} from '../load/callers/call-sample.js';
import {createSteadyDemand} from '../load/callers/create-steady-demand.js';
import {listRequestKinds} from '../load/callers/list-request-kinds.js';
import {LoadRunner} from '../load/callers/load-runner.js';
import type {Site} from '../site/site.js';

const seed = 1;
const ratePerService = 25;
const durationMs = 4000;
const progressIntervalMs = 500;
const requestKindOptions = {
	medianMs: 20, sigma: 0.36, longShare: 0.03, longFactor: 20,
};

/**
Sends a few hundred mixed requests to all services of a site.
@param reportProgress - Called with a line of progress every 500 ms and at the end.
@returns The samples of all requests.
*/
export const runDemoLoad = async (site: Site, reportProgress: (line: string) => void): Promise<readonly CallSample[]> => {
	const runner = new LoadRunner();
	let endedCount = 0;
	let completeCount = 0;
	runner.onSample(sample => {
		endedCount++;
		completeCount += sample.outcome === CallOutcome.Complete ? 1 : 0;
	});
	const timer = setInterval(() => {
		reportProgress(`${endedCount} requests ended, ${completeCount} complete responses`);
	}, progressIntervalMs);
	const runs = site.services.map(async (service, index) => runner.run({
		name: 'demo',
		service,
		seed: (seed * 1000) + index,
		demand: {...createSteadyDemand(ratePerService), swing: 0.3, swingPeriodMs: 2000},
		durationMs,
		kinds: listRequestKinds(service, requestKindOptions),
		callers: 8,
		domains: [...new Set(site.instances.map(instance => instance.failureDomain))],
		routeUrls: site.instances.map(instance => `http://${instance.host}:${instance.routePort}`),
		directUrls: [],
		oneWayDelayMs: 0,
		isSpinning: false,
		concurrency: 0,
	}));
	const samples = await Promise.all(runs);
	clearInterval(timer);
	reportProgress(`${endedCount} requests ended, ${completeCount} complete responses`);
	runner.dispose();
	return samples.flat();
};
