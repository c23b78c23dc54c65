import type {DisposableLike} from '../common/disposable-like.js';
import {DisposableStore} from '../common/disposable-store.js';
import type {MemberDirectory} from '../common/member-directory.js';
import {PeerClient} from '../io/peer/peer-client.js';

type KeptClient = {readonly address: string; readonly client: PeerClient};

/** Keeps one client a peer and drops those of members that are gone or moved. */
export class PeerController implements DisposableLike {
	private readonly _clients = new Map<string, KeptClient>();
	private readonly _store = new DisposableStore();

	constructor(private readonly _members: MemberDirectory) {
		this._store.add(_members.onMembersChanged(() => {
			this._dropGone();
		}));
	}

	/** The client of a peer; undefined for this instance itself and for unknown members. */
	getClient(instanceId: string): PeerClient | undefined {
		const member = this._members.listMembers().find(candidate => candidate.instance.id === instanceId);
		if (member === undefined || instanceId === this._members.self.instance.id) {
			return undefined;
		}

		const {host, peerPort} = member.instance;
		const address = `${host}:${peerPort}`;
		const kept = this._clients.get(instanceId);
		if (kept?.address === address) {
			return kept.client;
		}

		kept?.client.dispose();
		const client = new PeerClient({host, port: peerPort}, this._members.self.instance.id);
		this._clients.set(instanceId, {address, client});
		return client;
	}

	dispose(): void {
		this._store.dispose();
		for (const {client} of this._clients.values()) {
			client.dispose();
		}

		this._clients.clear();
	}

	private _dropGone(): void {
		const known = new Set(this._members.listMembers().map(member => member.instance.id));
		for (const [id, {client}] of this._clients) {
			if (!known.has(id)) {
				client.dispose();
				this._clients.delete(id);
			}
		}
	}
}
