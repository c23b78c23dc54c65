import {CallOutcome} from '../load/callers/call-outcome.js';
import type {CallSample} from '../load/callers/call-sample.js';
import {createSteadyDemand} from '../load/callers/create-steady-demand.js';
import {listRequestKinds} from '../load/callers/list-request-kinds.js';
import {LoadRunner} from '../load/callers/load-runner.js';
import type {Site} from '../site/site.js';

const seed = 1;
const ratePerService = 25;
const durationMs = 4000;
const progressMs = 500;
const kindOptions = {
	medianMs: 20, sigma: 0.36, longShare: 0.03, longFactor: 20,
};

/** Sends a few hundred mixed requests to all services of a site and reports the progress. */
export const runDemoLoad = async (site: Site, report: (line: string) => void): Promise<readonly CallSample[]> => {
	const runner = new LoadRunner();
	let ended = 0;
	let whole = 0;
	runner.onSample(sample => {
		ended++;
		whole += sample.outcome === CallOutcome.Whole ? 1 : 0;
	});
	const timer = setInterval(() => {
		report(`${ended} requests ended, ${whole} whole answers`);
	}, progressMs);
	const runs = site.services.map(async (service, index) => runner.run({
		name: 'demo',
		service,
		seed: (seed * 1000) + index,
		demand: {...createSteadyDemand(ratePerService), swing: 0.3, swingPeriodMs: 2000},
		durationMs,
		kinds: listRequestKinds(service, kindOptions),
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
	report(`${ended} requests ended, ${whole} whole answers`);
	runner.dispose();
	return samples.flat();
};
