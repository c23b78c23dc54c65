import {setTimeout as sleep} from 'node:timers/promises';
import {Case} from '../lib/case.mjs';
import {sendSteadily} from '../lib/late-answers.mjs';

/** The largest headers that the first and the second configuration allow, in bytes. */
const firstHeaderBytes = 16_384;
const secondHeaderBytes = 65_536;
/** Size of the header that clients send once the second one is in force, in bytes. */
const cookieBytes = 20_000;
/** Time from the change to the requests, in ms: configApplyMs and stableWindowMs, and as much again. */
const settlingMs = 10_000;

const testCase = new Case(new URL('record.txt', import.meta.url));
await testCase.execute(async () => {
	const configuration = {
		services: ['chairbook'],
		routes: [{
			name: 'book', pathPrefix: '/book/', kind: 'unsafe', service: 'chairbook',
		}],
	};
	await testCase.startUpstreams('chairbook', 4);
	await testCase.startStore({...configuration, limits: {maxHeaderBytes: firstHeaderBytes}});
	await testCase.startGateways(['z-a', 'z-a', 'z-a']);
	await sleep(3500);
	const headers = {};
	if (testCase.isTrouble) {
		testCase.publish('r15', {...configuration, limits: {maxHeaderBytes: secondHeaderBytes}});
		headers.Cookie = 'c'.repeat(cookieBytes);
	}

	await sleep(settlingMs);
	const results = await sendSteadily(testCase, {
		count: 200,
		perSecond: 50,
		create: index => ({
			method: 'POST', target: `/book/${index}`, id: `order-${index}`, body: `order ${index}`, headers,
		}),
	});
	const denied = results.filter(({status}) => status >= 300 && status < 500 && ![408, 421, 429].includes(status));
	const allowed = 5 + Math.floor(results.length / 500);
	testCase.record(`${denied.length} of ${results.length} proper requests were ended with a 3xx or 4xx; ${allowed} are allowed`);
	return denied.length <= allowed;
});
