import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import parameters from '../../../examples/parameters/lacefront.json' with {type: 'json'};
import template from '../../../examples/templates/catalogue.json' with {type: 'json'};
import {computeDigest} from '../compute-digest.js';
import {OfferResult} from './offer-result.js';
import {ReadBudget} from './read-budget.js';
import {RevisionStore} from './revision-store.js';
import {ServiceBook} from './service-book.js';

const seed = 6;
const texts = {
	template: JSON.stringify(template),
	// A template that asks for a parameter that the team does not give yet.
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

// A step reads `<key><revision> <text>`.
const parseSteps = (steps: string): Step[] => steps.split(', ').map(step => {
	const [head = '', text = ''] = step.split(' ');
	return {key: head.charAt(0) as Step['key'], revision: Number(head.slice(1)), text: text as Step['text']};
});

const run = (steps: readonly Step[]) => {
	const store = new RevisionStore();
	const book = new ServiceBook(store);
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

describe('the services in force', () => {
	it.each<{name: string; steps: string; pair: number[] | undefined; refused: string[]}>([
		{
			name: 'come from the newest pair', steps: 't1 template, p2 parameters, p3 parameters', pair: [1, 3], refused: [],
		},
		{
			name: 'keep the last good parameters', steps: 't1 template, p2 parameters, p3 bad', pair: [1, 2], refused: [keys.p],
		},
		{
			name: 'take a good revision after a bad one', steps: 't1 template, p2 broken, p3 parameters', pair: [1, 3], refused: [],
		},
		{
			name: 'refuse an older revision', steps: 't1 template, p3 parameters, p2 parameters', pair: [1, 3], refused: [],
		},
		{
			name: 'outlive a half-applied pair', steps: 't1 template, p2 parameters, t3 demandingTemplate', pair: [1, 2], refused: [keys.p],
		},
		{
			name: 'take the pair once both halves are there', steps: 't1 template, p2 parameters, p3 extraParameters, t4 demandingTemplate', pair: [4, 3], refused: [],
		},
		{
			name: 'come up in a new process from the older template that a peer hands on', steps: 'p2 parameters, t3 demandingTemplate, t1 template', pair: [1, 2], refused: [keys.p],
		},
		{
			name: 'refuse parameters under the key of another service', steps: 't1 template, p2 otherName', pair: undefined, refused: [keys.p],
		},
		{
			name: 'are removed with their parameters', steps: 't1 template, p2 parameters, p3 deleted, p2 parameters', pair: undefined, refused: [],
		},
		{
			name: 'outlive the deletion of their template', steps: 't1 template, p2 parameters, t3 deleted', pair: [1, 2], refused: [],
		},
	])('$name', ({steps, pair, refused}) => {
		const result = run(parseSteps(steps));
		expect(result.pair).toEqual(pair);
		expect(result.book.refused.map(({key}) => key)).toEqual(refused);
	});

	it('never go back, whatever order revisions arrive in, and end with the newest revision of each key', () => {
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

describe('the read budget', () => {
	it('is never passed in any second by all instances together', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 400}), fc.array(fc.integer({min: 0, max: 40}), {minLength: 1, maxLength: 300}), (instances, gaps) => {
			const budget = new ReadBudget(2000, 0);
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
