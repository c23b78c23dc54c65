import {Case} from '../lib/case.mjs';
import {sendSteadily} from '../lib/late-answers.mjs';
import {formatAnswer} from '../lib/upstream.mjs';

/** One of eight upstreams (share 0.125) fails 45 of 100 requests (x 0.45) for 6.5 s. */
const upstreamCount = 8;
const failShare = 0.45;
const failingMs = 6500;
const failingFromMs = 5000;

const testCase = new Case(new URL('record.txt', import.meta.url));
await testCase.execute(async () => {
	const startedAt = Date.now();
	const isFailing = () => testCase.isTrouble && Date.now() >= startedAt + failingFromMs && Date.now() < startedAt + failingFromMs + failingMs;
	await testCase.startUpstreams('chairbook', upstreamCount, (upstream, index) => {
		upstream.workMs = 150;
		let runCount = 0;
		upstream.answer = ({socket, id, headers, body}) => {
			runCount++;
			const fails = index === 0 && isFailing() && Math.floor(runCount * failShare) > Math.floor((runCount - 1) * failShare);
			if (fails) {
				testCase.record(`${upstream.id} ran ${id} and fails: 503 without Not-Executed`);
				socket.write(formatAnswer({
					status: 503, reason: 'Service Unavailable', headers, body,
				}));
			} else {
				socket.write(formatAnswer({headers, body}));
			}
		};
	}, {slots: 2});

	await testCase.startStore({
		services: ['chairbook'],
		routes: [{
			name: 'book', pathPrefix: '/book/', kind: 'unsafe', service: 'chairbook', timeoutMs: 2000,
		}],
	});
	await testCase.startGateways(['z-a', 'z-a', 'z-a']);
	const results = await sendSteadily(testCase, {
		count: 900,
		perSecond: 60,
		create: index => ({
			method: 'POST', target: `/book/${index}`, id: `order-${index}`, body: `order ${index}`, deadlineMs: 4000,
		}),
	});
	const ranIds = new Set(testCase.upstreams.flatMap(({ran}) => ran.map(({id}) => id)));
	const broken = results.filter(({status, id}) => [408, 421, 429, 503].includes(status) && ranIds.has(id));
	testCase.record(`${broken.length} orders were answered 503 and had run`);
	return broken.length === 0;
});
