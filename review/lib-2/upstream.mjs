// Upstreams for the cases of this review.
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {createEntry} from './site.mjs';

/** An upstream as PROTOCOL.md describes it. It registers itself in the store. */
export class Upstream {
	/** Attempt ids of the requests that it began to work on, with the time. */
	runs = [];
	#server;

	/** @param handle - Handles a request that is for this upstream; by default it reads the body, works and answers. */
	static async start({id, service, store, record, slots = 4, workMs = 20, responseBytes = 200, handle}) {
		const upstream = new Upstream();
		Object.assign(upstream, {
			id, service, store, record, slots, workMs, responseBytes,
		});
		upstream.#server = http.createServer((request, response) => {
			upstream.#handle(request, response, handle);
		});
		upstream.#server.keepAliveTimeout = 10_000;
		await new Promise(resolve => {
			upstream.#server.listen(0, '127.0.0.1', resolve);
		});
		upstream.address = `127.0.0.1:${upstream.#server.address().port}`;
		upstream.register();
		return upstream;
	}

	register(changes = {}) {
		this.store.put(`servers/${this.id}`, {...createEntry({service: this.service, address: this.address, slots: this.slots}), ...changes});
	}

	/** Notes that the upstream begins to work on a request. */
	noteRun(attemptId) {
		this.runs.push({attemptId, at: performance.now()});
		this.record.note(`upstream ${this.id} runs ${attemptId}`);
	}

	createHeaders(attemptId, length) {
		return {
			'attempt-id': attemptId, 'server-load': `0,0,${this.slots},100`, 'content-length': length,
		};
	}

	/** Reads the body, works and answers with a signed success. */
	serve(request, response, attemptId) {
		const {responseBytes} = this;
		request.resume();
		request.once('end', () => {
			this.noteRun(attemptId);
			setTimeout(() => {
				const body = Buffer.alloc(responseBytes, attemptId);
				response.writeHead(200, {...this.createHeaders(attemptId, body.length), 'response-signature': `signed.${this.id}`});
				response.end(body);
			}, this.workMs);
		});
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#handle(request, response, handle) {
		const attemptId = request.headers['attempt-id'];
		if (request.url === '/health') {
			request.resume();
			response.writeHead(200, {'instance-id': this.id, 'server-load': `0,0,${this.slots},100`, 'content-length': 0}).end();
		} else if (request.headers['target-instance'] !== undefined && request.headers['target-instance'] !== this.id) {
			request.resume();
			response.writeHead(421, {'instance-id': this.id, 'content-length': 0}).end();
		} else if (handle === undefined) {
			this.serve(request, response, attemptId);
		} else {
			handle({
				upstream: this, request, response, attemptId,
			});
		}
	}
}
