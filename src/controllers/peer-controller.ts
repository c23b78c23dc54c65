import type {DisposableLike} from '../common/disposable-like.js';
import {DisposableStore} from '../common/disposable-store.js';
import {Emitter} from '../common/emitter.js';
import type {Instance} from '../common/instance.js';
import type {MemberDirectory} from '../common/member-directory.js';
import {PeerClient} from '../io/peer/peer-client.js';

type ClientEntry = {readonly address: string; readonly client: PeerClient};

/** Keeps one client per peer, and disposes it when the member is removed or its address changes. */
export class PeerController implements DisposableLike {
	private readonly _clients = new Map<string, ClientEntry>();
	private readonly _store = new DisposableStore();
	private readonly _onClosed = new Emitter<string>();
	private _isDisposed = false;

	constructor(private readonly _members: MemberDirectory) {
		this._store.add(_members.onMembersChanged(() => {
			this._dropRemovedMembers();
		}));
	}

	/** Fires with the id of a peer whose connection was closed. */
	get onClosed() {
		return this._onClosed.event;
	}

	/** Returns the client of a peer; undefined for this instance itself, for unknown members and after disposal. */
	getClient(instanceId: string): PeerClient | undefined {
		const member = this._members.listMembers().find(candidate => candidate.instance.id === instanceId);
		return member === undefined ? undefined : this._getOrCreateClient(member.instance);
	}

	/** Creates a client for any address; the caller disposes it. */
	createClient(address: Readonly<{host: string; port: number}>): PeerClient {
		return new PeerClient(address, this._members.self.instance.id);
	}

	/** Disposes the client of a peer, so that the next use opens a new connection. */
	dropClient(instanceId: string): void {
		this._clients.get(instanceId)?.client.dispose();
		this._clients.delete(instanceId);
	}

	dispose(): void {
		// A pending call must not open a connection that would keep the process alive.
		this._isDisposed = true;
		this._onClosed.dispose();
		this._store.dispose();
		for (const {client} of this._clients.values()) {
			client.dispose();
		}

		this._clients.clear();
	}

	private _getOrCreateClient({id, host, peerPort}: Instance): PeerClient | undefined {
		if (id === this._members.self.instance.id || this._isDisposed) {
			return undefined;
		}

		const address = `${host}:${peerPort}`;
		const existing = this._clients.get(id);
		if (existing?.address === address) {
			return existing.client;
		}

		existing?.client.dispose();
		const client = this.createClient({host, port: peerPort});
		client.onClosed(() => {
			this._onClosed.fire(id);
		});
		this._clients.set(id, {address, client});
		return client;
	}

	private _dropRemovedMembers(): void {
		const memberIds = new Set(this._members.listMembers().map(member => member.instance.id));
		for (const id of this._clients.keys()) {
			if (!memberIds.has(id)) {
				this.dropClient(id);
			}
		}
	}
}
