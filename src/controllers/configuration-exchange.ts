import {setTimeout as sleep} from 'node:timers/promises';
import type {DisposableLike} from '../common/disposable-like.js';
import {DisposableStore} from '../common/disposable-store.js';
import type {Logger} from '../common/logger.js';
import type {Metrics} from '../common/metrics.js';
import {MemberState} from '../common/member-state.js';
import type {RevisionRef} from '../io/peer/revision-ref.js';
import type {ValuePart} from '../io/peer/value-part.js';
import type {ValueRequest} from '../io/peer/value-request.js';
import {runTask} from '../io/run-task.js';
import {computeDigest} from '../policy/compute-digest.js';
import type {ConfigurationEntry} from '../policy/configuration/configuration-entry.js';
import type {ConfigurationController} from './configuration-controller.js';
import type {MembershipController} from './membership-controller.js';
import type {PeerController} from './peer-controller.js';

type ExchangeOptions = {
	readonly configuration: ConfigurationController;
	readonly members: MembershipController;
	readonly peers: PeerController;
	readonly random: () => number;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Ids of the peers to which new revisions are announced. */
	readonly getGossipPeers: () => readonly string[];
};

type IncompleteValue = {readonly ref: RevisionRef; text: string};

/** Maximum characters of one `readValues` response; larger values take several calls. */
const chunkCharacters = 65_536;
/** Delay between two chunks, which limits a bulk transfer to about 2.5 MB/s. */
const chunkDelayMs = 25;
const maxValueCharacters = 1_048_576;
const requestsPerCall = 64;
const callTimeoutMs = 2000;
const announceDelayMs = 5;
/** Number of peers from which a new process loads its configuration. */
const initialPeerCount = 3;

const createRef = ({key, revision, digest, text}: ConfigurationEntry): RevisionRef => ({
	key, revision, digest, length: text?.length,
});

/** Replicates configuration between peers: new revisions are announced, and peers that lack them fetch their values. */
export class ConfigurationExchange implements DisposableLike {
	private readonly _store = new DisposableStore();
	private readonly _fetching = new Map<string, number>();
	private readonly _reconciling = new Set<string>();
	private _pendingAnnouncements: Array<{readonly ref: RevisionRef; readonly source: string | undefined}> = [];
	private _announceTimer: NodeJS.Timeout | undefined;

	constructor(private readonly _options: ExchangeOptions) {
		this._store.add(_options.configuration.onAccepted(({entry, source}) => {
			this._queueAnnouncement(createRef(entry), source);
		}));
	}

	/** Loads all revisions from a few peers; resolves when each has responded or timed out. */
	async loadFromPeers(): Promise<void> {
		const {members, random} = this._options;
		const candidates = members.listMembers().filter(({instance, state}) => instance.id !== members.self.instance.id && state !== MemberState.Suspect);
		const picked = candidates.map(member => ({id: member.instance.id, order: random()})).sort((a, b) => a.order - b.order).slice(0, initialPeerCount);
		await Promise.all(picked.map(async ({id}) => runTask(this._options, 'configuration-exchange', async () => this.reconcileWith(id))));
	}

	/** Compares all revisions with a peer, fetches those that are newer there and announces those that it lacks. */
	async reconcileWith(id: string): Promise<void> {
		const client = this._options.peers.getClient(id);
		if (client === undefined || this._reconciling.has(id)) {
			return;
		}

		this._reconciling.add(id);
		try {
			const peerRefs = await client.api.fleet.listRevisions.query(undefined, {signal: AbortSignal.timeout(callTimeoutMs)});
			await this._fetch(this._chooseMissing(peerRefs), id);
			const newest = new Map<string, number>();
			for (const {key, revision} of peerRefs) {
				newest.set(key, Math.max(newest.get(key) ?? 0, revision));
			}

			const unknownToPeer = this._options.configuration.listEntries().filter(({key, revision}) => revision > (newest.get(key) ?? 0));
			if (unknownToPeer.length > 0) {
				await client.api.fleet.announce.mutate(unknownToPeer.map(entry => createRef(entry)), {signal: AbortSignal.timeout(callTimeoutMs)});
			}
		} catch (error) {
			this._options.logger.logDebug('configuration-exchange-failed', {peer: id, error: (error as Error).message});
		} finally {
			this._reconciling.delete(id);
		}
	}

	acceptAnnouncement(refs: readonly RevisionRef[], peerId: string): void {
		const missing = refs.filter(ref => this._isNewer(ref));
		for (const {key, revision} of missing) {
			this._options.configuration.markWanted(key, revision);
		}

		const refsToFetch = missing.filter(({key, revision}) => revision > (this._fetching.get(key) ?? 0));
		void runTask(this._options, 'configuration-fetch', async () => this._fetch(refsToFetch, peerId));
	}

	listRevisions(): readonly RevisionRef[] {
		return this._options.configuration.listEntries().map(entry => createRef(entry));
	}

	readValues(requests: readonly ValueRequest[]): readonly ValuePart[] {
		const entriesById = new Map(this._options.configuration.listEntries().map(entry => [`${entry.key}@${entry.revision}`, entry]));
		const parts: ValuePart[] = [];
		let remainingCharacters = chunkCharacters;
		for (const {key, revision, offset} of requests) {
			const text = entriesById.get(`${key}@${revision}`)?.text;
			if (text === undefined || remainingCharacters <= 0) {
				continue;
			}

			const part = text.slice(offset, offset + remainingCharacters);
			remainingCharacters -= part.length;
			parts.push({
				key, revision, offset, text: part,
			});
		}

		return parts;
	}

	dispose(): void {
		clearTimeout(this._announceTimer);
		this._store.dispose();
	}

	private _isNewer({key, revision}: RevisionRef): boolean {
		return revision > (this._options.configuration.getNewest(key)?.revision ?? 0);
	}

	private _chooseMissing(refs: readonly RevisionRef[]): RevisionRef[] {
		const newer = refs.filter(ref => this._isNewer(ref));
		const older = this._options.configuration.hasMissingService || newer.length > 0
			? refs.filter(ref => !this._isNewer(ref) && ref.revision < (this._options.configuration.getNewest(ref.key)?.revision ?? 0))
			: [];
		// Newer revisions come first, so that an older one never becomes active in between.
		return [...newer.sort((a, b) => b.revision - a.revision), ...older];
	}

	private async _fetch(refs: readonly RevisionRef[], peerId: string): Promise<void> {
		for (const {key, revision} of refs) {
			this._fetching.set(key, Math.max(revision, this._fetching.get(key) ?? 0));
		}

		try {
			for (let start = 0; start < refs.length; start += requestsPerCall) {
				await this._fetchBatch(refs.slice(start, start + requestsPerCall), peerId);
			}
		} catch (error) {
			this._options.logger.logDebug('configuration-fetch-failed', {peer: peerId, error: (error as Error).message});
		} finally {
			for (const {key, revision} of refs) {
				if (this._fetching.get(key) === revision) {
					this._fetching.delete(key);
				}
			}
		}
	}

	private async _fetchBatch(refs: readonly RevisionRef[], peerId: string): Promise<void> {
		const incomplete = new Map<string, IncompleteValue>();
		for (const ref of refs) {
			if (ref.length === undefined) {
				this._offer(ref, undefined, peerId);
			} else if (ref.length <= maxValueCharacters) {
				incomplete.set(`${ref.key}@${ref.revision}`, {ref, text: ''});
			}
		}

		while (incomplete.size > 0) {
			const client = this._options.peers.getClient(peerId);
			const requests = [...incomplete.values()].map(({ref, text}) => ({key: ref.key, revision: ref.revision, offset: text.length}));
			const parts = await client?.api.fleet.readValues.query(requests, {signal: AbortSignal.timeout(callTimeoutMs)});
			if (parts === undefined || parts.length === 0) {
				return;
			}

			const takenParts = parts.filter(part => this._takePart(part, incomplete, peerId));
			if (takenParts.length === 0) {
				// A peer that sends nothing of what was asked for would be asked without end.
				return;
			}

			if (incomplete.size > 0) {
				await sleep(chunkDelayMs);
			}
		}
	}

	/** Adds a part to its value and offers the value once it is complete; returns false for a part that does not continue one. */
	private _takePart(part: ValuePart, incomplete: Map<string, IncompleteValue>, peerId: string): boolean {
		const id = `${part.key}@${part.revision}`;
		const item = incomplete.get(id);
		const length = item?.ref.length ?? 0;
		if (item?.text.length !== part.offset || (part.text === '' && length > 0)) {
			return false;
		}

		item.text += part.text;
		if (item.text.length >= length) {
			incomplete.delete(id);
			this._offer(item.ref, item.text, peerId);
		}

		return true;
	}

	private _offer(ref: RevisionRef, text: string | undefined, peerId: string): void {
		if (computeDigest(text ?? '') !== ref.digest) {
			this._options.logger.logError('configuration-damaged', {key: ref.key, revision: ref.revision, peer: peerId});
			return;
		}

		this._options.configuration.offerEntry({
			key: ref.key, revision: ref.revision, digest: ref.digest, text,
		}, peerId);
	}

	private _queueAnnouncement(ref: RevisionRef, source: string | undefined): void {
		this._pendingAnnouncements.push({ref, source});
		this._announceTimer ??= setTimeout(() => {
			this._announceTimer = undefined;
			void runTask(this._options, 'configuration-announcement', () => {
				const announcements = this._pendingAnnouncements;
				this._pendingAnnouncements = [];
				for (const id of this._options.getGossipPeers()) {
					void this._announce(id, announcements.filter(item => item.source !== id).map(item => item.ref));
				}
			});
		}, announceDelayMs);
	}

	private async _announce(id: string, refs: RevisionRef[]): Promise<void> {
		try {
			if (refs.length > 0) {
				await this._options.peers.getClient(id)?.api.fleet.announce.mutate(refs, {signal: AbortSignal.timeout(callTimeoutMs)});
			}
		} catch {
			// The peer learns of the revision from its other neighbours or from the next digest comparison.
		}
	}
}
