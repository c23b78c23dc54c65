import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '../../random/seeded-random.js';
import {SiteName} from '../../site/site-name.js';
import {Site} from '../../site/site.js';
import type {RunRecord} from '../../standins/target/run-record.js';
import {Caller} from '../../truth/caller.js';
import {verifyOutcomes} from '../../truth/verify-outcomes.js';
import type {CallRecord} from '../../truth/call-record.js';
import type {ExperimentContext} from '../experiment-context.js';
import type {Experiment} from '../experiment.js';
import type {ArmResult} from '../report/arm-result.js';
import type {CheckResult} from '../report/check-result.js';
import {createCheck} from '../report/create-check.js';
import {FaultInjector} from './fault-injector.js';
import type {FaultWindow} from './fault-window.js';

type Plan = {readonly services: readonly string[]; readonly slots: number; readonly serviceMs: number};
type Results = {readonly callRecords: CallRecord[]; readonly finalReads: CallRecord[]; readonly runRecords: readonly RunRecord[]; readonly windows: readonly FaultWindow[]};

const plans: Readonly<Record<SiteName, Plan>> = {
	[SiteName.Wigroom]: {services: ['lacefront', 'chairbook'], slots: 2, serviceMs: 100},
	[SiteName.Urdaneta]: {services: ['catalogo', 'encargos'], slots: 6, serviceMs: 200},
};
const entryCount = 4;
const targetsPerService = 4;
const load = 0.6;
const defaultSeconds = 60;
const lifetimeMs = 500;
const drainGraceMs = 3000;
/** Time after an instance ends within which callers may still use its address, in ms. */
const staleRouteMs = 4000;

/** Sends the load of one service, and retries only what is safe to retry: reads, and orders with an idempotency key. */
class FaultLoad {
	readonly finalReads: CallRecord[] = [];
	private readonly _pendingCalls = new Set<Promise<void>>();

	constructor(readonly caller: Caller, private readonly _random: SeededRandom, private readonly _orderShare: number) {}

	async run(endAt: number, meanGapMs: number): Promise<void> {
		let nextAt = Date.now();
		while (nextAt < endAt) {
			nextAt += this._random.getExponential(meanGapMs);
			await sleep(Math.max(0, nextAt - Date.now()));
			const sending = this._random.getNext() < this._orderShare ? this._order() : this._read();
			this._pendingCalls.add(sending);
			void this._removeWhenDone(sending);
		}

		await Promise.all(this._pendingCalls);
	}

	private async _removeWhenDone(sending: Promise<void>): Promise<void> {
		await sending;
		this._pendingCalls.delete(sending);
	}

	private async _read(): Promise<void> {
		let record = await this.caller.send();
		for (let attempt = 1; attempt < 3 && record.status !== 200; attempt++) {
			await sleep(100 * attempt);
			record = await this.caller.send({avoid: record.entry});
		}

		this.finalReads.push(record);
	}

	private async _order(): Promise<void> {
		const requestId = randomUUID();
		const hasIdempotencyKey = this._random.getNext() < 0.5;
		const headers: Record<string, string> = hasIdempotencyKey ? {'idempotency-key': requestId} : {};
		const first = await this.caller.send({
			method: 'POST', requestId, headers, path: `/bookings/${requestId}`,
		});
		if (hasIdempotencyKey && first.status !== 200) {
			await sleep(200);
			await this.caller.send({
				avoid: first.entry, method: 'POST', requestId, headers: {...headers, 'rattansill-first-sent-ms-ago': String(Date.now() - first.sentAt)}, path: `/bookings/${requestId}`,
			});
		}
	}
}

const isWithin = (record: CallRecord, window: FaultWindow, slackMs: number): boolean => record.entry === window.subject
	&& record.endedAt >= window.startedAt && record.sentAt <= window.endedAt + slackMs;

const countUnknownByKind = (callRecords: readonly CallRecord[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const item of callRecords) {
		if (item.method === 'POST' && item.outcome === 'unknown') {
			const name = `unknown ${item.kind ?? ''}`;
			counts[name] = (counts[name] ?? 0) + 1;
		}
	}

	return counts;
};

const countLateDispatches = (records: readonly RunRecord[], windows: readonly FaultWindow[]): number => {
	const drains = windows.filter(window => window.kind === 'drain');
	return records.filter(record => drains.some(drain => drain.subject === record.target
		&& record.arrivedAt > drain.startedAt + drainGraceMs && record.arrivedAt < drain.endedAt)).length;
};

const createChecks = (site: SiteName, {callRecords, finalReads, runRecords, windows}: Results): CheckResult[] => {
	const violations = verifyOutcomes(runRecords, callRecords);
	const count = (text: string) => violations.filter(line => line.includes(text)).length;
	const unanswered = callRecords.filter(item => item.status === 0);
	const isInWindow = (kind: string) => (item: CallRecord) => windows.some(window => window.kind === kind && isWithin(item, window, staleRouteMs));
	const unansweredByKill = unanswered.filter(item => isInWindow('kill')(item));
	const abortedByStop = unanswered.filter(item => !isInWindow('kill')(item) && isInWindow('planned-stop')(item));
	const served = finalReads.filter(item => item.status === 200).length / Math.max(1, finalReads.length);
	return [
		createCheck(`${site}: double runs`, {atMost: 0}, count('more than once')),
		createCheck(`${site}: false "not run"`, {atMost: 0}, count('"not run" and ran')),
		createCheck(`${site}: answers of another request or cut`, {atMost: 0}, count('got the answer')),
		createCheck(`${site}: requests without an answer, entry not killed`, {atMost: 0}, unanswered.length - unansweredByKill.length - abortedByStop.length),
		createCheck(`${site}: in-flight requests cut by planned stops`, {atMost: 0}, abortedByStop.length),
		createCheck(`${site}: new requests to a target 3 s after it began to leave`, {atMost: 0}, countLateDispatches(runRecords, windows)),
		createCheck(`${site}: idempotent success with up to two resends`, {atLeast: 0.999}, served),
	];
};

const createArmResult = (site: SiteName, seconds: number, {callRecords, windows}: Results): ArmResult => {
	const orders = callRecords.filter(item => item.method === 'POST');
	const unknown = orders.filter(item => item.outcome === 'unknown').length;
	return {
		name: site,
		seconds,
		requests: callRecords.length,
		orders: orders.length,
		faults: windows.length,
		unknownShare: unknown / Math.max(1, orders.length),
		...countUnknownByKind(callRecords),
		noAnswer: callRecords.filter(item => item.status === 0).length,
	};
};

const runSite = async (context: ExperimentContext, name: SiteName, seconds: number): Promise<Results> => {
	const {services, slots, serviceMs} = plans[name];
	const site = context.store.add(new Site({
		site: name,
		entryCount,
		services,
		targetsPerService,
		isProxyingTargets: true,
		serviceTimeMs: () => serviceMs,
		settings: {routes: {lifetimeMs}},
	}));
	await site.start();
	const endAt = Date.now() + (seconds * 1000);
	const injector = new FaultInjector(site, new SeededRandom(context.seed, 0), context.log);
	const loads = services.map((service, index) => new FaultLoad(
		new Caller({service, routePorts: site.instances.map(instance => instance.routePort)}),
		new SeededRandom(context.seed, index + 1),
		index === 0 ? 0 : 0.6,
	));
	const meanGapMs = serviceMs / (slots * targetsPerService * load);
	await Promise.all([injector.run(endAt), ...loads.map(async item => item.run(endAt, meanGapMs))]);
	const records = await site.fleet.readRecords();
	await Promise.all(loads.map(async item => item.caller.close()));
	site.dispose();
	return {
		callRecords: loads.flatMap(item => item.caller.records), finalReads: loads.flatMap(item => item.finalReads), runRecords: records, windows: injector.windows,
	};
};

/** Injects random faults at 60% load and compares what the targets ran with the outcomes that callers were told. */
export const faultsExperiment: Experiment = {
	name: 'faults',
	description: 'Random faults, one or two at a time, at 60% load; compares what the targets ran with the outcomes that callers were told',
	async run(context) {
		const seconds = context.seconds ?? defaultSeconds;
		const arms: ArmResult[] = [];
		const checks: CheckResult[] = [];
		for (const name of context.sites ?? Object.values(SiteName)) {
			context.log(`faults: ${name} for ${seconds} s`);
			const results = await runSite(context, name, seconds);
			for (const line of verifyOutcomes(results.runRecords, results.callRecords).slice(0, 20)) {
				context.log(`faults: ${line}`);
			}

			arms.push(createArmResult(name, seconds, results));
			checks.push(...createChecks(name, results));
		}

		return {arms, checks, notes: [`${entryCount} instances and two services per site, with ${targetsPerService} targets each behind fault proxies.`]};
	},
};
