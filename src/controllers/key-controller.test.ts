import fc from 'fast-check';
import {
	describe, expect, it,
} from 'vitest';
import {Emitter} from '../common/emitter.js';
import {MemberState} from '../common/member-state.js';
import type {Member} from '../common/member.js';
import {Outcome} from '../common/outcome.js';
import type {PeerClient} from '../io/peer/peer-client.js';
import {KeyController} from './key-controller.js';

const memoryMs = 600_000;
const viewDelayMs = 3000;

/** A few instances that call each other in memory, with network partitions, restarts, pauses and delayed membership views. */
class Fleet {
	now = 1_000_000;
	readonly ids = ['a', 'b', 'c', 'd'];
	readonly controllers = new Map<string, KeyController>();
	private readonly _groups = new Map<string, number>();
	private readonly _incarnations = new Map<string, number>();
	private readonly _events = new Map<string, Emitter<readonly Member[]>>();
	private readonly _views = new Map<string, readonly Member[]>();
	private _changedAt = 0;

	constructor() {
		for (const id of this.ids) {
			this._groups.set(id, 0);
		}

		for (const id of this.ids) {
			this.restart(id);
		}

		// The first step shows every instance the start of the others; the second leaves the views unchanged for a long time.
		this.advance(10_000);
		this.advance(100_000);
	}

	/** Replaces the process of an instance; the others notice later. */
	restart(id: string): void {
		this._incarnations.set(id, (this._incarnations.get(id) ?? 0) + 1);
		this._views.set(id, this._listReachable(id));
		const onMembersChanged = new Emitter<readonly Member[]>();
		this._events.set(id, onMembersChanged);
		const {now} = this;
		const controller = new KeyController({
			clock: {now: () => this.now},
			getPeer: peer => this._createPeer(id, peer),
			members: {
				self: this._describe(id),
				maxInstances: 4,
				onMembersChanged: onMembersChanged.event,
				listMembers: () => this._views.get(id) ?? [],
			},
		});
		controller.updateListed(new Set(this.ids));
		this.controllers.set(id, controller);
		this._changedAt = now;
	}

	partition(left: readonly string[]): void {
		for (const id of this.ids) {
			this._groups.set(id, left.includes(id) ? 1 : 0);
		}

		this._changedAt = this.now;
	}

	advance(ms: number): void {
		this.now += ms;
		if (this.now - this._changedAt < viewDelayMs) {
			return;
		}

		for (const id of this.ids) {
			const view = this._listReachable(id);
			this._views.set(id, view);
			this._events.get(id)?.fire(view);
		}
	}

	private _describe(id: string): Member {
		return {
			instance: {
				id, host: '127.0.0.1', dataPort: 1, routePort: 2, peerPort: 3, operatorPort: 4, failureDomain: 'x', region: 'y', leaving: false,
			},
			incarnation: this._incarnations.get(id) ?? 0,
			state: MemberState.Alive,
		};
	}

	private _listReachable(id: string): readonly Member[] {
		return this.ids.filter(other => this._groups.get(other) === this._groups.get(id)).map(other => this._describe(other));
	}

	private _createPeer(from: string, to: string): PeerClient {
		const call = <Input, Output>(run: (controller: KeyController, input: Input) => Output) => async (input: Input): Promise<Output> => {
			const controller = this.controllers.get(to);
			if (controller === undefined || this._groups.get(from) !== this._groups.get(to)) {
				throw new Error('unreachable');
			}

			return run(controller, input);
		};

		const keys = {
			claim: {mutate: call<Parameters<KeyController['acceptClaim']>[0], unknown>((controller, input) => controller.acceptClaim(input))},
			settle: {
				mutate: call<Parameters<KeyController['acceptSettlement']>[0], unknown>((controller, input) => {
					controller.acceptSettlement(input);
				}),
			},
			wait: {query: call<{service: string; key: string}, unknown>(async (controller, input) => controller.waitForKey(input.service, input.key, 0))},
		};
		return {api: {keys}} as unknown as PeerClient;
	}
}

type Send = {firstSentAt: number; runs: number; isFirst: boolean};

const send = async (fleet: Fleet, sends: Map<string, Send>, {entry, key, end}: {entry: string; key: string; end: Outcome | undefined}): Promise<string> => {
	const known = sends.get(key) ?? {firstSentAt: fleet.now, runs: 0, isFirst: true};
	sends.set(key, known);
	const controller = fleet.controllers.get(entry);
	const result = await controller?.claimKey({
		service: 's', key, fingerprint: 'f', firstSentAgoMs: known.isFirst ? undefined : fleet.now - known.firstSentAt, memoryMs,
	});
	known.isFirst = false;
	if (result?.kind === 'granted') {
		known.runs += end === Outcome.NotRun ? 0 : 1;
		if (end !== undefined) {
			controller?.settleClaim(result.granted, end);
		}
	}

	return result?.kind ?? '';
};

describe('KeyController', () => {
	it('never runs the request of a key twice, whatever partitions, restarts and pauses occur between resends', async () => {
		const entry = fc.constantFrom('a', 'b', 'c', 'd');
		const step = fc.oneof(
			{
				weight: 6, arbitrary: fc.record({
					name: fc.constant('send' as const), entry, key: fc.constantFrom('k1', 'k2', 'k3', 'k4', 'k5'), end: fc.constantFrom(Outcome.Ran, Outcome.Unknown, Outcome.NotRun, undefined),
				}),
			},
			{weight: 2, arbitrary: fc.record({name: fc.constant('advance' as const), ms: fc.constantFrom(1, 500, 3000, 8000, 60_000, 700_000)})},
			{weight: 1, arbitrary: fc.record({name: fc.constant('restart' as const), entry})},
			{weight: 1, arbitrary: fc.record({name: fc.constant('split' as const), left: fc.subarray(['a', 'b', 'c', 'd'])})},
			{weight: 1, arbitrary: fc.record({name: fc.constant('wake' as const), entry})},
		);
		const granted = {first: 0, resend: 0};
		await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 5, maxLength: 40}), async script => {
			const fleet = new Fleet();
			const sends = new Map<string, Send>();
			for (const item of script) {
				switch (item.name) {
					case 'send': {
						const isFirst = !sends.has(item.key);
						const kind = await send(fleet, sends, item);
						granted[isFirst ? 'first' : 'resend'] += kind === 'granted' ? 1 : 0;
						break;
					}

					case 'advance': {
						fleet.advance(item.ms);
						break;
					}

					case 'restart': {
						fleet.restart(item.entry);
						break;
					}

					case 'split': {
						fleet.partition(item.left);
						break;
					}

					case 'wake': {
						fleet.controllers.get(item.entry)?.resetMembershipHistory();
						break;
					}
				}

				for (const [key, {runs}] of sends) {
					expect(runs, key).toBeLessThanOrEqual(1);
				}
			}
		}), {seed: 13, numRuns: 800});
		// If nothing were granted, the property would hold trivially.
		expect(granted.first).toBeGreaterThan(1000);
		expect(granted.resend).toBeGreaterThan(50);
	});

	it.each([
		{
			name: 'the same entry', first: Outcome.Ran, resendAt: 'a', kind: 'known',
		},
		{
			name: 'another entry', first: Outcome.Ran, resendAt: 'c', kind: 'known',
		},
		{
			name: 'another entry while in flight', first: undefined, resendAt: 'b', kind: 'known',
		},
		{
			name: 'another entry after a proven refusal', first: Outcome.NotRun, resendAt: 'b', kind: 'granted',
		},
	])('responds to a resend at $name with $kind', async ({first, resendAt, kind}) => {
		const fleet = new Fleet();
		const sends = new Map<string, Send>();
		expect(await send(fleet, sends, {entry: 'a', key: 'k', end: first})).toBe('granted');
		fleet.advance(1000);
		expect(await send(fleet, sends, {entry: resendAt, key: 'k', end: Outcome.Ran})).toBe(kind);
	});

	it('refuses the resend of a key from before a restart of its owners, but grants first attempts', async () => {
		const fleet = new Fleet();
		const sends = new Map<string, Send>();
		await send(fleet, sends, {entry: 'a', key: 'k', end: Outcome.Ran});
		for (const id of fleet.ids) {
			fleet.restart(id);
		}

		fleet.advance(60_000);
		expect(await send(fleet, sends, {entry: 'b', key: 'k', end: Outcome.Ran})).toBe('unvouched');
		expect(await send(fleet, sends, {entry: 'b', key: 'other', end: Outcome.Ran})).toBe('granted');
	});

	it('ends the wait of a resend with the settlement of its own claim only', async () => {
		const fleet = new Fleet();
		const controller = fleet.controllers.get('a');
		const demand = {
			service: 's', key: 'k', fingerprint: 'f', firstSentAgoMs: undefined, memoryMs,
		};
		const first = await controller?.claimKey(demand);
		const second = await controller?.claimKey(demand);
		expect([first?.kind, second?.kind]).toEqual(['granted', 'known']);
		const waiting = second?.kind === 'known' ? controller?.waitForHolder(second.report, 's', 'k', 5000) : undefined;
		await controller?.claimKey(demand);
		if (first?.kind === 'granted') {
			controller?.settleClaim(first.granted, Outcome.Ran, {status: 201, rawHeaders: [], body: 'b2s='});
		}

		expect(await waiting).toMatchObject({outcome: Outcome.Ran, answer: {status: 201}});
	});
});
