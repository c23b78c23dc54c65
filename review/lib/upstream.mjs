import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';

const headEnd = '\r\n\r\n';

/** Formats an answer. A field with the value undefined is left out. */
export const formatAnswer = ({status = 200, reason = 'OK', headers = {}, body = ''}) => {
	const lines = Object.entries(headers).filter(([, value]) => value !== undefined).map(([name, value]) => `${name}: ${value}`);
	return `HTTP/1.1 ${status} ${reason}\r\n${lines.join('\r\n')}${headEnd}${body}`;
};

/**
A stand-in for an upstream, as PROTOCOL.md describes it: one request at a time on a connection, health path, Target-Instance, Attempt-Id, signature and
load. It reads bodies with a length, which is how the gateway sends them.
*/
export class Upstream {
	/** Requests that were run: {id, method, path, body, at}, in order. */
	ran = [];
	/** Time that a request takes, in ms. */
	workMs = 20;
	/** Whether answers report the load. */
	tellsLoad = true;
	/** Whether it is leaving, which all its answers say. */
	isLeaving = false;
	/** Writes the answer to a request that was run; gets {socket, id, method, path, headers, body}, where headers are those of a sound answer. */
	answer = ({socket, headers, body}) => {
		socket.write(formatAnswer({headers, body}));
	};
	_running = 0;
	_sockets = new Set();
	_server = createServer(socket => {
		this._sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this._sockets.delete(socket);
		});
		this._read(socket);
	});

	constructor(id, service, {slots = 4, zone = 'z-a'} = {}) {
		Object.assign(this, {
			id, service, slots, zone, born: Date.now(),
		});
	}

	async listen() {
		await new Promise(resolve => {
			this._server.listen(0, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${this._server.address().port}`;
	}

	/** What the upstream writes to the store. */
	get record() {
		const {service, address, zone, slots, born, isLeaving} = this;
		return {
			service, address, zone, version: 'v1', slots, state: isLeaving ? 'draining' : 'ready', warmupLeftMs: 0, seq: 1, born,
		};
	}

	/** Headers that all answers have. */
	get _commonHeaders() {
		return {...(this.tellsLoad && {'Server-Load': this._load}), ...(this.isLeaving && {'Server-Leaving': '1'})};
	}

	close() {
		this._server.close();
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}

	get _load() {
		return `${Math.min(this._running, this.slots)},${Math.max(0, this._running - this.slots)},${this.slots},100`;
	}

	_read(socket) {
		let text = '';
		let isBusy = false;
		const next = () => {
			const end = text.indexOf(headEnd);
			const length = Number(/\r\ncontent-length: *(\d+)/iv.exec(text.slice(0, end))?.[1] ?? 0);
			const size = end + headEnd.length + length;
			if (isBusy || end === -1 || text.length < size) {
				return;
			}

			const head = text.slice(0, end);
			const body = text.slice(end + headEnd.length, size);
			text = text.slice(size);
			isBusy = true;
			this._serve(socket, head, body, () => {
				isBusy = false;
				next();
			});
		};

		socket.setEncoding('latin1');
		socket.on('data', data => {
			text += data;
			next();
		});
	}

	_serve(socket, head, body, onServed) {
		const [method, path] = head.split(' ', 2);
		if (path === '/health') {
			socket.write(formatAnswer({status: this.isLeaving ? 503 : 200, headers: {'Instance-Id': this.id, ...this._commonHeaders, 'Content-Length': 0}}));
			onServed();
			return;
		}

		const find = name => new RegExp(`\\r\\n${name}: *([^\\r]*)`, 'iv').exec(head)?.[1];
		const id = find('attempt-id');
		const expected = find('target-instance');
		if (expected !== undefined && expected !== this.id) {
			socket.write(formatAnswer({status: 421, reason: 'Misdirected Request', headers: {'Instance-Id': this.id, 'Attempt-Id': id, 'Content-Length': 0}}));
			onServed();
			return;
		}

		this.ran.push({
			id, method, path, body, at: Date.now(),
		});
		this._running++;
		setTimeout(() => {
			this._running--;
			if (!socket.destroyed) {
				this._answer(socket, {
					id, method, path, body: `done: ${method} ${path} ${body}`,
				});
				onServed();
			}
		}, this.workMs);
	}

	_answer(socket, {id, method, path, body}) {
		this.answer({
			socket, id, method, path, body,
			headers: {
				'Attempt-Id': id, 'Response-Signature': `${this.id}.${id}`, ...this._commonHeaders, 'Content-Type': 'text/plain', 'Content-Length': Buffer.byteLength(body),
			},
		});
	}
}
