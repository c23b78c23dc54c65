import {err, ok} from 'neverthrow';
import {vi} from 'vitest';
import type {PublishedConfiguration} from '../../src/common/gateway/published-configuration.js';
import type {SyncMessage} from '../../src/common/gateway/sync-message.js';
import {MemberController} from '../../src/controllers/gateway/member-controller.js';
import {SiteView} from '../../src/controllers/gateway/site-view.js';
import {encodeMember} from '../../src/io/gateway/encode-member.js';
import {packConfiguration} from '../../src/io/gateway/pack-configuration.js';
import {SeededRandom} from '../../tools/random/seeded-random.js';
import {silentLogger} from './silent-logger.js';

type ModelInstance = {readonly members: MemberController; readonly view: SiteView};

const measureMessage = (message: SyncMessage): number => JSON.stringify({...message, members: message.members.map(member => encodeMember(member))}).length;

/** Member controllers that exchange messages in memory, by fake timers; an address is an instance's id. */
export class ModelFleet {
	readonly instances = new Map<string, ModelInstance>();
	/** Bytes that each instance sent and received. */
	readonly bytes = new Map<string, number>();
	/** Instances that neither send nor answer. */
	silent = new Set<string>();
	/** Instances that reach one another but none of the rest. */
	cut = new Set<string>();
	private readonly _random = new SeededRandom(16);

	constructor(private readonly _options: {readonly seeds: readonly string[]}) {}

	get running(): ModelInstance[] {
		return [...this.instances].filter(([id]) => !this.silent.has(id)).map(([, instance]) => instance);
	}

	/** Adds an instance, or starts one again that forgot everything. */
	addInstance(id: string, failureDomain: string, cores = 0.27): void {
		this.instances.get(id)?.members.dispose();
		const clock = {now: () => Date.now()};
		const view = new SiteView({clock, logger: silentLogger});
		const members = new MemberController({
			self: {
				id, failureDomain, dataAddress: `10.0.0.${id}:8641`, peerAddress: id, cores, incarnation: Date.now(),
			},
			seeds: this._options.seeds,
			client: {
				timeoutMs: 400,
				exchange: async (address, message) => {
					const peer = this._reach(id, address);
					if (peer === undefined) {
						return err(new Error('no answer'));
					}

					const answer = peer.members.handleMessage(message);
					this._addBytes(id, address, measureMessage(message) + measureMessage(answer));
					return ok(answer);
				},
				fetchConfiguration: async address => this._fetch(id, address),
			},
			view,
			clock,
			random: this._random.getNext,
			logger: silentLogger,
		});
		this.instances.set(id, {members, view});
		members.start();
	}

	/** Gets an instance by its id. */
	get(id: string): ModelInstance {
		const instance = this.instances.get(id);
		if (instance === undefined) {
			throw new Error(`no instance ${id}`);
		}

		return instance;
	}

	/** Lists the instances that read the registry for the others. */
	listReaders(): string[] {
		return [...this.instances].filter(([id, {members}]) => !this.silent.has(id) && members.isReader).map(([id]) => id);
	}

	/** Lets time pass. */
	async run(ms: number): Promise<void> {
		await vi.advanceTimersByTimeAsync(ms);
	}

	dispose(): void {
		for (const {members} of this.instances.values()) {
			members.dispose();
		}

		this.instances.clear();
	}

	private _reach(from: string, to: string): ModelInstance | undefined {
		return this.silent.has(from) || this.silent.has(to) || this.cut.has(from) !== this.cut.has(to) ? undefined : this.instances.get(to);
	}

	private _fetch(from: string, to: string) {
		const peer = this._reach(from, to);
		if (peer === undefined) {
			return err(new Error('no answer'));
		}

		const published: PublishedConfiguration | undefined = peer.members.getConfiguration();
		this._addBytes(from, to, published === undefined ? 0 : packConfiguration(published.configuration).length);
		return ok(published);
	}

	private _addBytes(from: string, to: string, count: number): void {
		for (const id of [from, to]) {
			this.bytes.set(id, (this.bytes.get(id) ?? 0) + count);
		}
	}
}
