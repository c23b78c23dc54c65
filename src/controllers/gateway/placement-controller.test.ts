import {describe, expect, it} from 'vitest';
import {disabledMetrics} from '../../io/disabled-metrics.js';
import {gatewayHeaders} from '../../../test/support/gateway-headers.js';
import {silentLogger} from '../../../test/support/silent-logger.js';
import {FleetShare} from '../../policy/gateway/fleet-share.js';
import {PlacementController} from './placement-controller.js';
import {SiteView} from './site-view.js';

const windowMs = 10_000;
const limits = {
	cores: 1, memoryBytes: 250_000_000, targetChangeMs: 2000, configurationChangeMs: 2000, stopMs: 6000, retryRatio: 0.2, retrySlack: 196, retryWindowMs: windowMs, probesPerTargetPerSecond: 42,
};

describe('PlacementController', () => {
	it.each([18, 125, 300])('limits the retries of %i instances together to those allowed for the fleet', count => {
		let now = 0;
		const clock = {now: () => now};
		const share = new FleetShare({
			clock, failureDomainCount: 1, windowMs, countLocal: () => count, isJoined: () => true,
		});
		now = windowMs;
		let taken = 0;
		for (let index = 0; index < count; index++) {
			const view = new SiteView({clock, logger: silentLogger});
			const placement = new PlacementController({
				settings: {
					instance: {id: `i-${index}`, failureDomain: 'a', region: 'r'},
					listeners: {
						data: '', readiness: '', peer: '', route: '', metrics: '',
					},
					failureDomains: ['a'],
					seeds: [],
					isFirstStart: true,
					registry: '',
					limits,
				},
				view,
				headers: gatewayHeaders,
				logger: silentLogger,
				metrics: disabledMetrics,
				clock,
				random: () => 0,
				share,
				computeTrafficFactor: () => 1,
			});
			view.offerConfiguration({
				version: 1,
				routes: [],
				services: [{name: 's', healthPath: '/', connectionsPerTarget: 260}],
				limits: {
					headerBytes: 1, bodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1,
				},
			}, 0);
			while (placement.tryTakeRetry('s')) {
				taken++;
			}

			placement.dispose();
		}

		expect(taken).toBeLessThanOrEqual(limits.retrySlack);
	});
});
