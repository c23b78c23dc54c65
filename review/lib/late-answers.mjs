import {setTimeout as sleep} from 'node:timers/promises';

/** Time after a route's timeoutMs by which a request has its answer, in ms (RULES.md, CONFIG). */
const graceMs = 500;
/** A client's own clock is read a little after the answer has arrived. */
const readingMs = 50;

/**
Sends requests at a steady rate and resolves with what the clients saw. Every client waits for the final answer until well after the route's timeoutMs.
@param create - Returns the options of `Case.call` for a number.
*/
export const sendSteadily = async (testCase, {count, perSecond, create}) => {
	const calls = [];
	for (let index = 0; index < count; index++) {
		const gateway = testCase.gateways[index % testCase.gateways.length];
		calls.push(testCase.call(gateway, create(index)));
		await sleep(1000 / perSecond); // eslint-disable-line no-await-in-loop
	}

	return Promise.all(calls);
};

/**
Judges by the two sentences of CONFIG on timeoutMs. A request whose connection ends counts as answered.
@returns Whether both hold.
*/
export const judgeTimeouts = (testCase, results, timeoutMs) => {
	const overdue = results.filter(({tookMs}) => tookMs > timeoutMs + readingMs);
	const unanswered = results.filter(({tookMs}) => tookMs > timeoutMs + graceMs + readingMs);
	testCase.record(`${results.length} requests; ${overdue.length} without a final answer at timeoutMs; ${unanswered.length} without one half a second later`);
	return unanswered.length < 8 || unanswered.length <= overdue.length / 2;
};
