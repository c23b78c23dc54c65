import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RequestClass} from '../../common/request-class.js';
import type {QueuedItem} from './queued-item.js';
import {WaitQueue} from './wait-queue.js';

type NamedItem = QueuedItem & {readonly name: string};

const limits = {maxRequests: 1000, maxBytes: 1_000_000};

const createItem = (name: string, changes: Partial<QueuedItem> = {}): NamedItem => ({
	name, requestClass: RequestClass.Interactive, isLong: false, isRetry: false, enqueuedAt: 0, deadlineAt: 2000, heldBytes: 0, costMs: 10, ...changes,
});

const drainNames = (queue: WaitQueue<NamedItem>, now = 0): string[] => {
	const names: string[] = [];
	for (let next = queue.takeNext(now, () => true); next !== undefined; next = queue.takeNext(now, () => true)) {
		names.push(next.item.name);
	}

	return names;
};

const itemArbitrary = fc.record({
	requestClass: fc.constantFrom(...Object.values(RequestClass)),
	isLong: fc.boolean(),
	isRetry: fc.boolean(),
	allowanceMs: fc.integer({min: 1, max: 100_000}),
	heldBytes: fc.integer({min: 0, max: 300}),
	costMs: fc.integer({min: 1, max: 500}),
});

describe('WaitQueue', () => {
	const booking = {requestClass: RequestClass.Booking};
	const deferrable = {requestClass: RequestClass.Deferrable, deadlineAt: 30_000};

	it.each([
		{title: 'the earliest deadline first', items: [createItem('late', {deadlineAt: 900}), createItem('early', {deadlineAt: 500})], order: ['early', 'late']},
		{title: 'short before long', items: [createItem('long', {isLong: true, deadlineAt: 10}), createItem('short')], order: ['short', 'long']},
		{title: 'first attempts before retries', items: [createItem('retry', {isRetry: true, deadlineAt: 10}), createItem('first', {isLong: true})], order: ['first', 'retry']},
		{title: 'deferrable last', items: [createItem('deferrable', deferrable), createItem('retry', {isRetry: true})], order: ['retry', 'deferrable']},
		{
			title: 'interactive and booking alternately', order: ['i1', 'b1', 'i2', 'b2', 'i3'],
			items: [createItem('i1'), createItem('i2'), createItem('i3'), createItem('b1', booking), createItem('b2', booking)],
		},
		{
			title: 'a deferrable request that waited for half its time in the first tier', now: 10_000, order: ['i1', 'old', 'i2'],
			items: [createItem('i1', {deadlineAt: 11_000}), createItem('i2', {deadlineAt: 11_000}), createItem('old', {...deferrable, deadlineAt: 20_000})],
		},
	])('serves $title', ({items, order, now}) => {
		const queue = new WaitQueue<NamedItem>(limits);
		for (const item of items) {
			queue.addItem(item);
		}

		expect(drainNames(queue, now)).toEqual(order);
	});

	it.each([
		{limit: {maxRequests: 1, maxBytes: 100}, bytes: 10, accepted: [true, false]},
		{limit: {maxRequests: 9, maxBytes: 100}, bytes: 60, accepted: [true, false]},
		{limit: {maxRequests: 9, maxBytes: 120}, bytes: 60, accepted: [true, true]},
	])('is bounded by $limit', ({limit, bytes, accepted}) => {
		const queue = new WaitQueue<NamedItem>(limit);
		expect(accepted.map((_, index) => queue.addItem(createItem(String(index), {heldBytes: bytes})))).toEqual(accepted);
	});

	it('skips a request that cannot be served', () => {
		const queue = new WaitQueue<NamedItem>(limits);
		queue.addItem(createItem('short'));
		queue.addItem(createItem('long', {isLong: true}));
		expect(queue.takeNext(0, item => item.isLong ? true : undefined)?.item.name).toBe('long');
		expect(queue.size).toBe(1);
	});

	it('neither loses nor duplicates a request', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom('add', 'take', 'cancel'), itemArbitrary, fc.nat(100)), {maxLength: 200}), commands => {
			const queue = new WaitQueue<NamedItem>({maxRequests: 50, maxBytes: 5000});
			const waiting = new Set<NamedItem>();
			let now = 0;
			for (const [index, [command, {allowanceMs, ...shape}, step]] of commands.entries()) {
				now += step;
				switch (command) {
					case 'add': {
						const item = {
							...createItem(String(index)), ...shape, enqueuedAt: now, deadlineAt: now + allowanceMs,
						};
						if (queue.addItem(item)) {
							waiting.add(item);
						}

						break;
					}

					case 'take': {
						const next = queue.takeNext(now, () => true);
						expect(next === undefined).toBe(waiting.size === 0);
						expect(next === undefined || waiting.delete(next.item)).toBe(true);
						break;
					}

					case 'cancel': {
						const [item] = waiting;
						expect(item === undefined || (queue.removeItem(item) && !queue.removeItem(item))).toBe(true);
						waiting.delete(item!);
					}
				}

				expect(queue.size).toBe(waiting.size);
				expect(queue.heldBytes).toBe([...waiting].reduce((sum, item) => sum + item.heldBytes, 0));
				expect(queue.size <= 50 && queue.heldBytes <= 5000).toBe(true);
			}

			expect(drainNames(queue, now).length).toBe(waiting.size);
			expect(queue.heldBytes).toBe(0);
		}), {seed: 41, numRuns: 200});
	});

	it('starves no request while new short requests keep every slot busy', () => {
		fc.assert(fc.property(itemArbitrary, fc.constantFrom(RequestClass.Interactive, RequestClass.Booking), ({allowanceMs, ...shape}, rival) => {
			const queue = new WaitQueue<NamedItem>(limits);
			queue.addItem({...createItem('watched'), ...shape, deadlineAt: allowanceMs});
			// Three new requests arrive for each one that is served.
			for (let now = 0; now < 60_000; now += 10) {
				for (let count = 0; count < 3 && queue.size < 900; count++) {
					queue.addItem(createItem('rival', {requestClass: rival, enqueuedAt: now, deadlineAt: now + 50}));
				}

				if (queue.takeNext(now, () => true)?.item.name === 'watched') {
					return true;
				}
			}

			return false;
		}), {seed: 42, numRuns: 60});
	});
});
