import {setTimeout as sleep} from 'node:timers/promises';
import {Case} from '../lib/case.mjs';
import {formatAnswer} from '../lib/upstream.mjs';

const graceMs = 6000;
const timeoutMs = 12_000;
const upstreamCount = 8;
const requestCount = 9;

const testCase = new Case(new URL('record.txt', import.meta.url));
await testCase.execute(async () => {
	/** Ids of the requests to which an upstream has written its whole answer. */
	const answeredIds = new Set();
	await testCase.startUpstreams('chairbook', upstreamCount, upstream => {
		upstream.answer = ({socket, id, headers}) => {
			// A 204 response has neither a body nor a Content-Length (RFC 9110, sections 8.6 and 15.3.5).
			socket.write(formatAnswer({status: 204, reason: 'No Content', headers: {...headers, 'Content-Type': undefined, 'Content-Length': undefined}}));
			answeredIds.add(id);
			testCase.record(`${upstream.id} ran ${id} and has answered 204`);
		};
	});

	await testCase.startStore({
		services: ['chairbook'],
		routes: [{
			name: 'book', pathPrefix: '/book/', kind: 'unsafe', service: 'chairbook', timeoutMs,
		}],
	});
	await testCase.startGateways(['z-a', 'z-a', 'z-a']);
	const [stopped] = testCase.gateways;
	const calls = [];
	for (let index = 0; index < requestCount; index++) {
		const gateway = testCase.gateways[index % testCase.gateways.length];
		calls.push(testCase.call(gateway, {
			method: 'POST', target: `/book/${index}`, id: `order-${index}`, body: `order ${index}`, deadlineMs: timeoutMs,
		}));
		await sleep(50); // eslint-disable-line no-await-in-loop
	}

	await sleep(500);
	if (testCase.isTrouble) {
		await testCase.stopProcess(stopped, graceMs);
	}

	const results = await Promise.all(calls);
	const cut = results.filter(({gateway, id, status, isComplete, tookMs}) => gateway === stopped.id && answeredIds.has(id) && tookMs < timeoutMs && (status === 0 || !isComplete));
	testCase.record(`${cut.length} requests ended without a complete answer although their upstream had answered`);
	return cut.length === 0;
});
