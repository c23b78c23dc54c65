import {expect, it} from 'vitest';
import {computePermitWaitMs} from './compute-permit-wait-ms.js';

const unowned = {blockedMs: Number.POSITIVE_INFINITY, spacingMs: Number.POSITIVE_INFINITY, warmUpLeftMs: 20_000};
const owned = {blockedMs: 0, spacingMs: 1000, warmUpLeftMs: 20_000};

it.each([
	{
		name: 'a permit that is free', sources: [unowned, owned], aheadCount: 0, waitMs: 0,
	},
	{
		name: 'permits of two targets', sources: [owned, {...owned, blockedMs: 700}], aheadCount: 3, waitMs: 1700,
	},
	{
		name: 'a target that is warm before the permit', sources: [owned, {...unowned, warmUpLeftMs: 1500}], aheadCount: 3, waitMs: 1500,
	},
	{
		name: 'targets that others own', sources: [unowned], aheadCount: 0, waitMs: 20_000,
	},
])('with $name and $aheadCount requests ahead, a request waits $waitMs ms', ({sources, aheadCount, waitMs}) => {
	expect(computePermitWaitMs(sources, aheadCount)).toBe(waitMs);
});
