import type {IncomingMessage, ServerResponse} from 'node:http';
import {ok} from 'neverthrow';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {silentLogger} from '../../../test/support/silent-logger.js';
import type {HedgeSource} from '../../controllers/gateway/hedge-source.js';
import type {PlacementController} from '../../controllers/gateway/placement-controller.js';
import type {PlacementRequest} from '../../controllers/gateway/placement-request.js';
import {ServiceAdmission} from '../../controllers/gateway/service-admission.js';
import {ServicePlacer} from '../../controllers/gateway/service-placer.js';
import {SiteView} from '../../controllers/gateway/site-view.js';
import type {TargetChoice} from '../../controllers/gateway/target-choice.js';
import type {TargetLease} from '../../controllers/gateway/target-lease.js';
import type {TargetPool} from '../../controllers/gateway/target-pool.js';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import type {AttemptRunner} from './attempt-runner.js';
import {GatewayContext} from './gateway-context.js';
import {RetryFilter} from './retry-filter.js';
import {RouteFilter} from './route-filter.js';

const shares = [{service: 'large', weight: 0.7}, {service: 'small', weight: 0.3}];
const requestCount = 400;
const gapMs = 25;
/** Time between two free slots of the branch that is short of capacity. */
const scarceSlotMs = 250;
const usualMs = 100;
const objectiveMs = 500;
const deadlineMs = 3000;
const retries = 2;

describe('traffic split', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	const createBranch = (slotMs: number) => {
		let slotAt = 0;
		const choose = () => Date.now() >= slotAt ? {estimateMs: usualMs, hasFreeSlot: true, isIdle: true} as unknown as TargetChoice : undefined;
		const pool = {
			serviceTimes: {usualMs, meanMs: usualMs}, inFlight: 1, size: 1,
			isExhausted: () => false,
			computePauseMs: () => 0,
			computePermitWaitMs: () => 0,
			chooseFromReports: choose,
			chooseWithProbes: async () => choose(),
			confirmChoice: choose,
			grant() {
				slotAt = Date.now() + slotMs;
				return {} as unknown as TargetLease;
			},
		};
		const admission = new ServiceAdmission(() => 0);
		admission.setPriorities([{priority: 0, objectiveMs}, {priority: 1, objectiveMs}]);
		return {
			admission,
			placer: new ServicePlacer({
				pool: pool as unknown as TargetPool, admission, clock: {now: () => Date.now()}, logger: silentLogger, metrics: disabledMetrics,
			}),
		};
	};

	// Guards against shares that follow the free capacity, and against requests that a branch refuses and the other one serves.
	it.each(['large', 'small'])('keeps shares by weight and moves no request while branch "%s" is short of capacity', async scarce => {
		const view = new SiteView({clock: {now: () => Date.now()}, logger: silentLogger});
		const branches = new Map(shares.map(({service}) => [service, createBranch(service === scarce ? scarceSlotMs : 0)]));
		const moved: string[] = [];
		const counts = new Map(shares.map(({service}) => [service, {arrived: 0, refused: 0, highestLevel: 0}]));
		const route = new RouteFilter(view, () => 0.5);
		view.offerConfiguration({
			version: 1,
			routes: [{
				name: 'split', host: 'h', pathPrefix: '/', shares, isIdempotent: false, timeoutMs: deadlineMs, objectiveMs, priority: 1, maxAttempts: 2,
			}],
			services: shares.map(({service}) => ({name: service, healthPath: '/', connectionsPerTarget: 10})),
			limits: {
				headerBytes: 1, bodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1,
			},
		}, 0);

		const sendOnce = async (objectiveAt: number, deadlineAt: number): Promise<number | undefined> => {
			const context = new GatewayContext({url: '/', headers: {host: 'h'}} as IncomingMessage, {} as ServerResponse, {receivedAt: 0, readAt: 0}, undefined);
			context.objectiveAt = objectiveAt;
			context.deadlineAt = deadlineAt;
			let chosen = '';
			const placement = {
				addRequest: () => undefined,
				tryTakeRetry: () => true,
				async acquire(request: PlacementRequest) {
					if (request.service !== chosen) {
						moved.push(request.service);
					}

					return branches.get(request.service)!.placer.acquire(request);
				},
			};
			const retry = new RetryFilter({
				placement: placement as unknown as PlacementController,
				hedges: {isOff: true, addRequest: () => undefined} as unknown as HedgeSource,
				runner: {run: async () => ok({status: 200})} as unknown as AttemptRunner,
			});
			const result = await route.handleRequest(context, async next => {
				chosen = next.service;
				counts.get(chosen)!.arrived++;
				return retry.handleRequest(next);
			});
			const count = counts.get(chosen)!;
			count.refused += result.isErr() ? 1 : 0;
			count.highestLevel = Math.max(count.highestLevel, branches.get(chosen)!.admission.updateLevel(Date.now()));
			return result.isErr() ? result.error.retryAfterMs ?? 0 : undefined;
		};

		const send = async () => {
			const deadlineAt = Date.now() + deadlineMs;
			const objectiveAt = Date.now() + objectiveMs;
			for (let left = retries; left >= 0 && Date.now() < deadlineAt; left--) {
				const retryAfterMs = await sendOnce(objectiveAt, deadlineAt);
				if (retryAfterMs === undefined) {
					return;
				}

				await new Promise(resolve => {
					setTimeout(resolve, retryAfterMs);
				});
			}
		};

		for (let count = 0; count < requestCount; count++) {
			void send();
			await vi.advanceTimersByTimeAsync(gapMs);
		}

		await vi.advanceTimersByTimeAsync(deadlineMs * 2);
		expect(moved).toEqual([]);
		const total = [...counts.values()].reduce((sum, {arrived}) => sum + arrived, 0);
		for (const {service, weight} of shares) {
			const {arrived, refused, highestLevel} = counts.get(service)!;
			expect(Math.abs((arrived / total) - weight)).toBeLessThan(0.1);
			expect(refused > 0).toBe(service === scarce);
			expect(highestLevel > 2).toBe(service === scarce);
			branches.get(service)!.placer.dispose();
		}
	});
});
