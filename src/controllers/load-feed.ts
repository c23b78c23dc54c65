import {Buffer} from 'node:buffer';
import type {Clock} from '../common/clock.js';
import type {LoadFeedMessage} from '../common/load-feed-message.js';
import type {TargetCounts} from '../common/target-counts.js';
import type {ByteRateLimiter} from '../policy/schedule/byte-rate-limiter.js';

type TargetState = {
	/** Whether the target has no free slot, by this instance's estimate. */
	readonly isFull: boolean;
	readonly share: TargetCounts;
};

type LoadFeedOptions = {
	readonly clock: Clock;
	/** Time for which changes are batched, in ms. */
	readonly intervalMs: number;
	/** Byte rate limiter shared by all feeds of the instance. */
	readonly budget: ByteRateLimiter;
	/** Lists the current state of every target of the subscribed services. */
	readonly listStates: () => TargetState[];
	/** Returns the current state of one target; undefined when its service is not subscribed. */
	readonly getState: (service: string, targetId: string) => TargetState | undefined;
};

/** Intervals for which changes may be delayed that neither fill nor free a target. */
const minorChangeIntervals = 4;
/** Interval at which an unchanged state is confirmed, in ms. */
const heartbeatMs = 250;
/** Number of change messages after which a snapshot is sent again. */
const messagesPerSnapshot = 200;
/** Bytes per message beyond its text, for headers and acknowledgement. */
const messageOverheadBytes = 130;

const createKey = (service: string, targetId: string) => `${service}/${targetId}`;

/** Streams this instance's in-flight counts to one peer as snapshots and batched changes, at a limited rate. */
export class LoadFeed {
	private _sent = new Map<string, {readonly index: number; readonly state: TargetState}>();
	private readonly _changed = new Map<string, TargetState>();
	private _messagesUntilSnapshot = 0;
	private _sentAt = 0;
	private _isUrgent = false;
	private _timer: NodeJS.Timeout | undefined;
	private _wake: (() => void) | undefined;

	constructor(private readonly _options: LoadFeedOptions) {}

	/** Records that a count of a target may have changed. */
	markChanged(service: string, targetId: string): void {
		const key = createKey(service, targetId);
		const sent = this._sent.get(key);
		const state = this._options.getState(service, targetId);
		if (state === undefined) {
			return;
		}

		if (sent === undefined) {
			// Changes refer to targets by their index in the last snapshot, which does not contain this one.
			this._messagesUntilSnapshot = 0;
			this._isUrgent = true;
			this._schedule();
			return;
		}

		if (state.share.inFlight === sent.state.share.inFlight && state.share.longInFlight === sent.state.share.longInFlight && state.share.isDraining === sent.state.share.isDraining) {
			this._changed.delete(key);
			return;
		}

		this._changed.set(key, state);
		if (!this._isUrgent && (state.isFull !== sent.state.isFull || state.share.isDraining !== sent.state.share.isDraining)) {
			this._isUrgent = true;
			this._schedule();
		} else if (this._changed.size === 1) {
			this._schedule();
		}
	}

	/** Yields a snapshot and then changes, with a new snapshot from time to time, until the subscription ends. */
	async * streamMessages(signal: AbortSignal | undefined): AsyncGenerator<LoadFeedMessage> {
		const wake = () => this._wake?.();
		signal?.addEventListener('abort', wake);
		try {
			while (!(signal?.aborted ?? false)) {
				const message = this._createMessage();
				this._options.budget.recordMessage(Buffer.byteLength(JSON.stringify(message)) + messageOverheadBytes, this._options.clock.now());
				yield message;
				await this._waitUntilDue();
			}
		} finally {
			clearTimeout(this._timer);
			signal?.removeEventListener('abort', wake);
		}
	}

	private async _waitUntilDue(): Promise<void> {
		await new Promise<void>(resolve => {
			this._wake = resolve;
			this._schedule();
		});
		this._wake = undefined;
		clearTimeout(this._timer);
	}

	private _schedule(): void {
		if (this._wake === undefined) {
			return;
		}

		clearTimeout(this._timer);
		const {clock, budget} = this._options;
		const dueAt = Math.max(this._sentAt + this._computeDelay(), budget.availableAt);
		this._timer = setTimeout(this._wake, Math.max(0, dueAt - clock.now()));
	}

	private _computeDelay(): number {
		const {intervalMs} = this._options;
		if (this._isUrgent) {
			return intervalMs;
		}

		return this._changed.size > 0 ? Math.min(heartbeatMs, intervalMs * minorChangeIntervals) : heartbeatMs;
	}

	private _createMessage(): LoadFeedMessage {
		this._sentAt = this._options.clock.now();
		this._isUrgent = false;
		this._messagesUntilSnapshot--;
		return this._messagesUntilSnapshot < 0 ? this._createSnapshot() : this._createChanges();
	}

	private _createSnapshot(): LoadFeedMessage {
		const states = this._options.listStates();
		this._messagesUntilSnapshot = messagesPerSnapshot;
		this._changed.clear();
		this._sent = new Map(states.map((state, index) => [createKey(state.share.service, state.share.targetId), {index, state}]));
		return {kind: 'whole', targets: states.map(({share}) => share)};
	}

	private _createChanges(): LoadFeedMessage {
		const changes = [...this._changed].map(([key, state]) => {
			const index = this._sent.get(key)?.index ?? 0;
			this._sent.set(key, {index, state});
			const {inFlight, longInFlight, shortMs, isDraining} = state.share;
			return [index, inFlight, longInFlight, shortMs, isDraining ? 1 : 0] as const;
		});
		this._changed.clear();
		return {kind: 'changes', changes};
	}
}
