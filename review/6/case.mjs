/* eslint-disable no-await-in-loop -- scripts that wait and repeat */
// A machine freezes while clients have connected and not yet sent their requests. The requests are answered 408 and run all the same.
import net from 'node:net';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	createConfiguration, Gateway, hasTrouble, Record, runCase, Store,
} from '../lib-2/site.mjs';
import {startProxy} from '../lib-2/proxy.mjs';
import {Upstream} from '../lib-2/upstream.mjs';

/** Clients that have connected when the machine freezes. */
const clientCount = 3;
/** Requests before the freeze, one after the other, as a machine in service has had. */
const earlierCount = 300;
/** Time from a client's connection to the head of its request, in ms; headerTimeoutMs is 3,000. */
const thinkMs = 300;
/** Length of the freeze, in ms; the days of the grown sites have 4 s. */
const freezeMs = 4000;
/** Delay to clients in each direction, in ms. */
const clientDelayMs = 8;
const deadlineMs = 12_559;
const promises = new Set(['408', '421', '429', '503']);

const record = new Record(path.dirname(fileURLToPath(import.meta.url)));
const store = new Store();
await store.listen();
const upstreams = await Promise.all(['i-1', 'i-2', 'i-3'].map(async id => Upstream.start({
	id, service: 'expediente', store, record, workMs: 50,
})));
store.put('op/config', createConfiguration(1, {
	routes: [{
		name: 'doc-upload', pathPrefix: '/doc/', kind: 'upload', service: 'expediente', timeoutMs: 12_000, targetLatencyMs: 2093,
	}],
	services: ['expediente'],
}));
const gateway = await Gateway.start({
	name: 'edge-1', host: '127.0.1.1', store, record,
});
let proxy;

/** Connects, sends one request after a time, and resolves with the status that it gets; closes its connection once the answer is complete. */
const sendAfter = async (attemptId, waitMs) => new Promise(resolve => {
	const socket = net.connect({port: proxy.port, host: '127.0.0.1', noDelay: true});
	let text = '';
	const finish = () => {
		socket.off('close', finish);
		const status = /^HTTP\/1\.1 (\d{3})/v.exec(text)?.[1] ?? 'none';
		record.note(`client ${attemptId} got status ${status}`);
		socket.destroy();
		resolve({attemptId, status});
	};

	socket.on('connect', async () => {
		record.note(`client ${attemptId} connected`);
		await sleep(waitMs);
		record.note(`client ${attemptId} sends its request`);
		socket.write(`POST /doc/${attemptId} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ${attemptId}\r\nDeadline-Ms: ${deadlineMs}\r\nContent-Length: 7\r\n\r\ninvoice`);
	});
	socket.on('data', data => {
		text += data.toString('latin1');
		const [, length] = /content-length: (\d+)/iv.exec(text) ?? [];
		const head = text.indexOf('\r\n\r\n');
		if (head !== -1 && length !== undefined && text.length >= head + 4 + Number(length)) {
			finish();
		}
	});
	socket.on('error', () => undefined);
	socket.on('close', finish);
});

await runCase({
	record,
	async run() {
		await gateway.waitUntilReady();
		proxy = await startProxy(gateway.addresses.front, clientDelayMs);
		for (let index = 0; index < earlierCount; index += 10) {
			await Promise.all(Array.from({length: 10}, async (_, offset) => sendAfter(`earlier-${index + offset}`, 0)));
		}

		const sent = Promise.all(Array.from({length: clientCount}, async (_, index) => sendAfter(`booking-${index}`, thinkMs)));
		await sleep(100);
		if (hasTrouble) {
			gateway.signal('SIGSTOP');
			await sleep(freezeMs);
			gateway.signal('SIGCONT');
		}

		const answers = await sent;
		await sleep(3000);
		const runs = new Set(upstreams.flatMap(upstream => upstream.runs.map(({attemptId}) => attemptId)));
		const broken = answers.filter(({attemptId, status}) => promises.has(status) && runs.has(attemptId));
		record.tell(`answers: ${answers.map(({attemptId, status}) => `${attemptId} ${status}${runs.has(attemptId) ? ' ran' : ''}`).join(', ')}`);
		record.tell(`REFUSED: ${broken.length} requests that are not idempotent were answered 408, 421, 429 or 503 and ran`);
		return broken.length > 0;
	},
	async close() {
		proxy?.close();
		await gateway.stop();
		store.close();
		for (const upstream of upstreams) {
			upstream.close();
		}
	},
});
