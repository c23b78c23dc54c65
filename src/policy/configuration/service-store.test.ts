import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import parameters from '../../../examples/parameters/lacefront.json' with {type: 'json'};
import template from '../../../examples/templates/catalogue.json' with {type: 'json'};
import {computeDigest} from '../compute-digest.js';
import {OfferResult} from './offer-result.js';
import {ReadRateLimiter} from './read-rate-limiter.js';
import {RevisionStore} from './revision-store.js';
import {ServiceStore} from './service-store.js';

const seed = 6;
const texts = {
	template: JSON.stringify(template),
	// A template with a required parameter that the team has not set yet.
	demandingTemplate: JSON.stringify({...template, parameters: {...template.parameters, extra: {description: 'extra', type: 'integer'}}}),
	parameters: JSON.stringify(parameters),
	extraParameters: JSON.stringify({...parameters, values: {...parameters.values, extra: 1}}),
	bad: '{"service": 7}',
	broken: '{',
	otherName: JSON.stringify({...parameters, service: 'other'}),
	deleted: undefined,
};
type Step = {key: 't' | 'p'; revision: number; text: keyof typeof texts};
const keys = {t: 'templates/catalogue', p: 'parameters/lacefront'};

// The format of a step is `<key><revision> <text>`.
const parseSteps = (steps: string): Step[] => steps.split(', ').map(step => {
	const [head = '', text = ''] = step.split(' ');
	return {key: head.charAt(0) as Step['key'], revision: Number(head.slice(1)), text: text as Step['text']};
});

const run = (steps: readonly Step[]) => {
	const store = new RevisionStore();
	const book = new ServiceStore(store);
	const apply = (step: Step) => {
		const text = texts[step.text];
		const entry = {
			key: keys[step.key], revision: step.revision, text, digest: computeDigest(text ?? ''),
		};
		const result = store.offer(entry);
		if (result === OfferResult.Older) {
			store.addOlder(entry);
		}

		book.renderChanges(entry.key);
		store.discardUnused(item => book.isUsed(item));
		book.discardUnused();
		return result;
	};

	const results = steps.map(step => apply(step));
	const service = book.getService('lacefront');
	return {
		apply, book, store, results, pair: service === undefined ? undefined : [service.templateRevision, service.parametersRevision],
	};
};

describe('the active services', () => {
	it.each<{name: string; steps: string; pair: number[] | undefined; refused: string[]}>([
		{
			name: 'are rendered from the newest pair', steps: 't1 template, p2 parameters, p3 parameters', pair: [1, 3], refused: [],
		},
		{
			name: 'keep the last valid parameters', steps: 't1 template, p2 parameters, p3 bad', pair: [1, 2], refused: [keys.p],
		},
		{
			name: 'use a valid revision after an invalid one', steps: 't1 template, p2 broken, p3 parameters', pair: [1, 3], refused: [],
		},
		{
			name: 'ignore an older revision', steps: 't1 template, p3 parameters, p2 parameters', pair: [1, 3], refused: [],
		},
		{
			name: 'are kept while only the template of a pair has changed', steps: 't1 template, p2 parameters, t3 demandingTemplate', pair: [1, 2], refused: [keys.p],
		},
		{
			name: 'use the new pair once both parts have arrived', steps: 't1 template, p2 parameters, p3 extraParameters, t4 demandingTemplate', pair: [4, 3], refused: [],
		},
		{
			name: 'are rendered in a new process from the older template that a peer sends', steps: 'p2 parameters, t3 demandingTemplate, t1 template', pair: [1, 2], refused: [keys.p],
		},
		{
			name: 'reject parameters under the key of another service', steps: 't1 template, p2 otherName', pair: undefined, refused: [keys.p],
		},
		{
			name: 'are removed with their parameters', steps: 't1 template, p2 parameters, p3 deleted, p2 parameters', pair: undefined, refused: [],
		},
		{
			name: 'are kept when their template is deleted', steps: 't1 template, p2 parameters, t3 deleted', pair: [1, 2], refused: [],
		},
	])('$name', ({steps, pair, refused}) => {
		const result = run(parseSteps(steps));
		expect(result.pair).toEqual(pair);
		expect(result.book.refused.map(({key}) => key)).toEqual(refused);
	});

	it('never revert to older revisions, whatever the order of arrival, and end with the newest revision of each key', () => {
		const text = fc.constantFrom<Array<Step['text']>>('template', 'demandingTemplate', 'parameters', 'extraParameters', 'bad');
		const step = fc.record({key: fc.constantFrom<Array<Step['key']>>('t', 'p'), revision: fc.integer({min: 1, max: 9}), text});
		fc.assert(fc.property(fc.array(step, {maxLength: 15}), steps => {
			const {apply, book, store} = run([]);
			let before = [0, 0];
			for (const item of steps) {
				apply(item);
				const service = book.getService('lacefront');
				const now = service === undefined ? before : [service.templateRevision, service.parametersRevision];
				expect(now[0]).toBeGreaterThanOrEqual(before[0] ?? 0);
				expect(now[1]).toBeGreaterThanOrEqual(before[1] ?? 0);
				before = now;
			}

			for (const key of ['t', 'p'] as const) {
				const newest = Math.max(0, ...steps.filter(item => item.key === key).map(item => item.revision));
				expect(store.getNewest(keys[key])?.revision ?? 0).toBe(newest);
			}
		}), {seed});
	});
});

const countMost = (calls: readonly number[]): number => Math.max(0, ...calls.map(start => calls.filter(at => at >= start && at < start + 1000).length));

describe('the read rate limiter', () => {
	it('is not exceeded in any second by all instances together', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 400}), fc.array(fc.integer({min: 0, max: 40}), {minLength: 1, maxLength: 300}), (instances, gaps) => {
			const budget = new ReadRateLimiter(2000, 0);
			budget.setMaxInstances(instances);
			const calls: number[] = [];
			let now = 0;
			for (const gap of gaps) {
				now += gap;
				if (budget.tryAcquire(now)) {
					calls.push(now);
				}
			}

			const most = countMost(calls);
			expect((most + budget.watchLimit) * instances).toBeLessThanOrEqual(2000);
		}), {seed});
	});
});
