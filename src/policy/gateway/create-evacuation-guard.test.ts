import {describe, expect, it} from 'vitest';
import {gatewayTarget} from '../../../test/support/gateway-target.js';
import {createEvacuationGuard} from './create-evacuation-guard.js';
import {TargetRecord} from './target-record.js';

describe('createEvacuationGuard', () => {
	// Guards against a request that is chosen a target before an evacuation and written to it afterwards.
	it.each([
		['none', [], 0, true],
		['another one', ['z-other'], 0, true],
		['that of the target', [gatewayTarget.failureDomain, 'z-other'], Number.POSITIVE_INFINITY, false],
	])('with %s evacuated says for how long the target is blocked and whether a request may be written', (_name, domains, blockedMs, canSend) => {
		let evacuated: string[] = [];
		const guard = createEvacuationGuard(domain => evacuated.includes(domain));
		const record = new TargetRecord(gatewayTarget, 0);
		guard.noteGrant(record, 0);
		expect(guard.canSend(record, 0, 0)).toBe(true);
		evacuated = domains;
		expect(guard.computeBlockedMs(record, 0)).toBe(blockedMs);
		expect(guard.canSend(record, 0, 0)).toBe(canSend);
	});
});
