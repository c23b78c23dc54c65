import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** Items on one page of a range read. */
const pageSize = 500;

/** A stand-in for the platform's store: items, range reads and watches, as PROTOCOL.md describes them. */
export class Store {
	/** When set, called with (request, response) before a call is served; returns true if it has dealt with the call. */
	intercept = undefined;
	_items = new Map();
	_removed = [];
	_waiting = new Set();
	_revision = 100;
	_server = createServer((request, response) => {
		if (this.intercept?.(request, response) !== true) {
			this._serve(request, response);
		}
	});

	async listen(host = '127.0.0.1') {
		await new Promise(resolve => {
			this._server.listen(0, host, resolve);
		});
		this.address = `${host}:${this._server.address().port}`;
	}

	set(key, value) {
		this._revision++;
		this._items.set(key, {
			key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: this._revision, createRev: this._items.get(key)?.createRev ?? this._revision, lease: 0,
		});
		this._wake();
	}

	remove(key) {
		this._revision++;
		this._items.delete(key);
		this._removed.push({key, revision: this._revision, tombstone: true});
		this._wake();
	}

	close() {
		this._server.close();
		this._server.closeAllConnections();
	}

	_wake() {
		const waiting = [...this._waiting];
		this._waiting.clear();
		for (const resume of waiting) {
			resume();
		}
	}

	_serve(request, response) {
		const url = new URL(request.url, 'http://localhost');
		const query = url.searchParams;
		switch (url.pathname) {
			case '/v1/kv-key': {
				const item = this._items.get(query.get('key'));
				this._send(response, item === undefined ? 404 : 200, {...item, storeRevision: this._revision});
				break;
			}

			case '/v1/kv-range': {
				const after = query.get('after') ?? '';
				const items = this._list(query.get('pathPrefix')).filter(({key}) => key > after).sort((a, b) => (a.key < b.key ? -1 : 1));
				this._send(response, 200, {items: items.slice(0, pageSize), hasMore: items.length > pageSize, storeRevision: this._revision});
				break;
			}

			case '/v1/kv-watch': {
				this._watch(query, response, Date.now() + Number(query.get('waitMs')));
				break;
			}

			default: {
				this._send(response, 404, {});
			}
		}
	}

	_watch(query, response, endsAt) {
		const prefix = query.get('pathPrefix');
		const events = [...this._list(prefix), ...this._removed.filter(({key}) => key.startsWith(prefix))]
			.filter(({revision}) => revision > Number(query.get('after')))
			.sort((a, b) => a.revision - b.revision);
		if (events.length > 0 || Date.now() >= endsAt) {
			this._send(response, 200, {events, storeRevision: this._revision});
			return;
		}

		const resume = () => {
			clearTimeout(timer);
			this._watch(query, response, endsAt);
		};

		const timer = setTimeout(() => {
			this._waiting.delete(resume);
			this._watch(query, response, endsAt);
		}, Math.max(0, endsAt - Date.now()));
		this._waiting.add(resume);
	}

	_list(prefix) {
		return [...this._items.values()].filter(({key}) => key.startsWith(prefix));
	}

	_send(response, status, body) {
		if (!response.destroyed) {
			response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
		}
	}
}
