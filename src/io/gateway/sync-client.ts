import {createTRPCClient, type TRPCClient} from '@trpc/client';
import {fromPromise, ok, type Result} from 'neverthrow';
import type {DisposableLike} from '../../common/disposable-like.js';
import {PeerFailureKind} from '../../common/gateway/peer-failure-kind.js';
import type {PeerFailure} from '../../common/gateway/peer-failure.js';
import type {PublishedConfiguration} from '../../common/gateway/published-configuration.js';
import type {SyncMessage} from '../../common/gateway/sync-message.js';
import type {Logger} from '../../common/logger.js';
import type {Metrics} from '../../common/metrics.js';
import type {ByteMeter} from './byte-meter.js';
import {configurationTimeoutMs} from './configuration-timeout-ms.js';
import {createCallLink} from './create-call-link.js';
import {decodeEnvelope} from './decode-envelope.js';
import {decodePublishedConfiguration} from './decode-published-configuration.js';
import {encodeMember} from './encode-member.js';
import {MeteredAgent} from './metered-agent.js';
import type {SyncRouter} from './sync-router.js';

/** Time limit of an exchange of messages with a peer, in ms; a round trip takes 3 ms, and a small instance under load responds within some tens of ms. */
const callTimeoutMs = 400;

const describeFetch = (fetched: Result<PublishedConfiguration | undefined, PeerFailure>): string => {
	if (fetched.isOk()) {
		return fetched.value === undefined ? 'not-newer' : 'fetched';
	}

	switch (fetched.error.kind) {
		case PeerFailureKind.Unreachable: {
			return 'unreachable';
		}

		case PeerFailureKind.Refused: {
			return 'refused';
		}
	}
};

/** Calls the procedures of peer instances over keep-alive connections. */
export class SyncClient implements DisposableLike {
	/** Time after which an exchange of messages counts as failed, in ms. */
	readonly timeoutMs = callTimeoutMs;
	private readonly _agent: MeteredAgent;
	private readonly _clients = new Map<string, TRPCClient<SyncRouter>>();

	/** @param meter - Counts the bytes that the calls send and receive. */
	constructor(meter: ByteMeter, private readonly _metrics: Metrics, private readonly _logger: Logger) {
		this._agent = new MeteredAgent({maxSockets: 2, noDelay: true}, meter);
	}

	/** Sends a message to a peer and resolves with the peer's message. */
	async exchange(peerAddress: string, message: SyncMessage): Promise<Result<SyncMessage, Error>> {
		const envelope = {...message, members: message.members.map(member => encodeMember(member))};
		const result = await fromPromise(this._getClient(peerAddress).sync.mutate(envelope), error => error as Error);
		this._metrics.countEvent('peer.exchanges', {result: result.isOk() ? 'answered' : 'failed'});
		return result.andThen(reply => decodeEnvelope(reply).mapErr(detail => new Error(detail))).map(({message: reply, refused}) => {
			if (refused.length > 0) {
				this._logger.logError('peer-record-refused', {peer: reply.from, detail: refused.join(', ')});
			}

			return reply;
		});
	}

	/**
	Fetches the configuration that a peer has in force; resolves with undefined when the peer states that it is not newer than the active one, or when
	it is not by the time it arrives.
	@param getActiveVersion - Returns the version that this instance has in force.
	*/
	async fetchConfiguration(peerAddress: string, getActiveVersion: () => number): Promise<Result<PublishedConfiguration | undefined, PeerFailure>> {
		const startedAt = performance.now();
		const version = getActiveVersion();
		const result = await fromPromise(
			this._getClient(peerAddress).configuration.mutate(version),
			(error): PeerFailure => ({kind: PeerFailureKind.Unreachable, detail: (error as Error).message}),
		);
		const answeredAt = performance.now();
		const decoded = result.andThen((reply: unknown) => reply === undefined
			? ok(undefined)
			: decodePublishedConfiguration(reply, version, getActiveVersion()).mapErr(({field, value, message}): PeerFailure => ({kind: PeerFailureKind.Refused, field, detail: `${value}: ${message}`})));
		this._metrics.countEvent('configuration.fetches', {result: describeFetch(decoded)});
		this._metrics.recordDuration('configuration.fetch', answeredAt - startedAt);
		this._metrics.recordDuration('configuration.check', performance.now() - answeredAt);
		return decoded;
	}

	dispose(): void {
		this._agent.destroy();
	}

	private _getClient(peerAddress: string): TRPCClient<SyncRouter> {
		let client = this._clients.get(peerAddress);
		if (client === undefined) {
			client = createTRPCClient<SyncRouter>({links: [createCallLink({peerAddress, agent: this._agent, getTimeoutMs: procedure => procedure === 'configuration' ? configurationTimeoutMs : this.timeoutMs})]});
			this._clients.set(peerAddress, client);
		}

		return client;
	}
}
