import {setTimeout as sleep} from 'node:timers/promises';
import {Case} from '../lib/case.mjs';
import {sendSteadily} from '../lib/late-answers.mjs';

const drainMs = 2000;
const heartbeatMs = 1500;
const upstreamCount = 8;
const workMs = 1200;
/** Times at which one upstream after the other leaves, in ms. */
const leavingAtMs = [4000, 14_000, 24_000];
/** Time after which the store applies the heartbeat whose answer is lost, in ms: "done 1 to 6 s later". */
const lateMs = 3500;
/** Time for which an upstream goes on serving after its report, in ms. */
const servingMs = 8000;

const testCase = new Case(new URL('record.txt', import.meta.url));

/** Lets an upstream leave as planned. With the disruption, the heartbeat before its report is applied by the store late. */
const leave = async upstream => {
	const {record: lateRecord} = upstream;
	upstream.isLeaving = true;
	testCase.store.set(`servers/${upstream.id}`, upstream.record);
	testCase.record(`${upstream.id} leaves; the store has accepted its report`);
	const heartbeats = setInterval(() => {
		testCase.store.set(`servers/${upstream.id}`, upstream.record);
	}, heartbeatMs);
	await sleep(lateMs);
	if (testCase.isTrouble) {
		testCase.store.set(`servers/${upstream.id}`, lateRecord);
		testCase.record(`the store applies the heartbeat that ${upstream.id} sent before its report`);
	}

	await sleep(servingMs - lateMs);
	clearInterval(heartbeats);
	testCase.store.remove(`servers/${upstream.id}`);
	await sleep(2 * workMs);
	upstream.close();
	testCase.record(`${upstream.id} has ended`);
};

const leaveAt = async (upstream, ms) => {
	await sleep(ms);
	await leave(upstream);
};

await testCase.execute(async () => {
	await testCase.startUpstreams('chairbook', upstreamCount, upstream => {
		upstream.tellsLoad = false;
		upstream.workMs = workMs;
	});
	await testCase.startStore({
		services: ['chairbook'],
		routes: [{
			name: 'book', pathPrefix: '/book/', kind: 'unsafe', service: 'chairbook',
		}],
	});
	await testCase.startGateways(['z-a', 'z-a', 'z-a']);
	const [results] = await Promise.all([
		sendSteadily(testCase, {
			count: 400,
			perSecond: 12,
			create: index => ({
				method: 'POST', target: `/book/${index}`, id: `order-${index}`, body: `order ${index}`,
			}),
		}),
		...leavingAtMs.map(async (ms, index) => leaveAt(testCase.upstreams[index], ms)),
	]);
	const broken = results.filter(({gateway, id, sentAt}) => testCase.upstreams.some(upstream => {
		const passedOnAt = Math.min(...results
			.filter(other => other.gateway === gateway && other.headers?.['server-leaving'] === '1' && other.headers['response-signature'].startsWith(`${upstream.id}.`))
			.map(({endedAt}) => endedAt));
		return sentAt > passedOnAt + drainMs && upstream.ran.some(run => run.id === id);
	}));
	for (const {gateway, id} of broken) {
		testCase.record(`${id} was sent to ${gateway} later than drainMs after it had passed on an answer with Server-Leaving, and reached that upstream`);
	}

	testCase.record(`${broken.length} requests reached an upstream that had said to the same machine that it leaves`);
	return broken.length === 0;
});
