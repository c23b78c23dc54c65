/* eslint-disable no-await-in-loop, camelcase, unicorn/no-process-exit -- scripts that wait and repeat */
// A small deployment on loopback for the cases of this review: a store, upstreams and gateways.
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export const root = fileURLToPath(new URL('../..', import.meta.url));

const settingsTemplate = fs.readFileSync(path.join(root, 'platform/settings.json.template'), 'utf8');
const runLine = /^run = "(.*)"$/mv.exec(fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'))[1];

/** Exit codes of a case. */
export const exitCodes = {held: 0, broken: 1, notRun: 2};

/** Whether the case applies its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Finds a free port of a loopback address. */
export const findPort = async (host = '127.0.0.1') => {
	const server = net.createServer();
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, host, resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
};

/** Writes what happens to record.txt in the folder of the case, and the last lines to standard output. */
export class Record {
	#startedAt = performance.now();
	#file;

	constructor(folder) {
		this.#file = path.join(folder, 'record.txt');
		fs.writeFileSync(this.#file, '');
	}

	note(text) {
		fs.appendFileSync(this.#file, `${((performance.now() - this.#startedAt) / 1000).toFixed(3)} ${text}\n`);
	}

	tell(text) {
		this.note(text);
		console.log(text);
	}
}

/** The platform's store: linearizable reads and watches, as PROTOCOL.md describes them. */
export class Store {
	#items = new Map();
	#tombstones = [];
	#watches = new Set();
	#revision = 100;
	#server = http.createServer((request, response) => {
		this.#handle(request, response);
	});

	constructor() {
		this.#server.keepAliveTimeout = 60_000;
	}

	async listen() {
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	put(key, value) {
		this.#revision++;
		const previous = this.#items.get(key);
		this.#items.set(key, {
			key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: this.#revision, createRev: previous?.createRev ?? this.#revision, lease: 0,
		});
		this.#notify();
	}

	remove(key) {
		if (this.#items.delete(key)) {
			this.#revision++;
			this.#tombstones.push({key, revision: this.#revision, tombstone: true});
			this.#notify();
		}
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#notify() {
		const watches = [...this.#watches];
		this.#watches.clear();
		for (const wake of watches) {
			wake();
		}
	}

	#handle(request, response) {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const send = (status, body) => {
			if (!response.destroyed) {
				response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
			}
		};

		const prefix = searchParams.get('pathPrefix') ?? '';
		switch (pathname) {
			case '/v1/kv-key': {
				const item = this.#items.get(searchParams.get('key'));
				send(item === undefined ? 404 : 200, {...item, storeRevision: this.#revision});

				break;
			}

			case '/v1/kv-range': {
				const after = searchParams.get('after') ?? '';
				const items = [...this.#items.values()].filter(({key}) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1);
				send(200, {items: items.slice(0, 500), hasMore: items.length > 500, storeRevision: this.#revision});

				break;
			}

			case '/v1/kv-watch': {
				this.#watch(prefix, Number(searchParams.get('after')), performance.now() + Number(searchParams.get('waitMs')), send);

				break;
			}

			default: {
				send(404, {});
			}
		}
	}

	#watch(prefix, after, endsAt, send) {
		const events = [...this.#items.values(), ...this.#tombstones]
			.filter(({key, revision}) => key.startsWith(prefix) && revision > after)
			.sort((a, b) => a.revision - b.revision);
		const leftMs = endsAt - performance.now();
		if (events.length > 0 || leftMs <= 0) {
			send(200, {events, storeRevision: this.#revision});
			return;
		}

		const wake = () => {
			clearTimeout(timer);
			this.#watch(prefix, after, endsAt, send);
		};

		const timer = setTimeout(() => {
			this.#watches.delete(wake);
			send(200, {events: [], storeRevision: this.#revision});
		}, leftMs);
		this.#watches.add(wake);
	}
}

/** Creates a configuration as the operator writes it. */
export const createConfiguration = (version, {routes, services, limits = {}}) => ({
	version: `r${version}`,
	routes: routes.map(route => ({
		hostname: 'shop.example', timeoutMs: 10_000, targetLatencyMs: 1000, priority: 1, maxAttempts: 2, ...route,
	})),
	services: services.map(name => ({
		name, healthPath: '/health', maxConns: 260, protocol: 'h1', tls: false,
	})),
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 3000, idleTimeoutMs: 15_000, ...limits,
	},
});

/** Creates the entry that an upstream writes to the store. */
export const createEntry = ({service, address, slots = 4, state = 'ready', zone = 'z-a'}) => ({
	service, address, zone, version: 'v1', slots, state, warmupLeftMs: 0, seq: 1, born: 1_790_000_000_000,
});

/** A gateway process, started with the command of the deploy file. */
export class Gateway {
	exit;

	/** @param fields - Fields of the settings that differ from those of a small deployment. */
	static async start({name, host, store, record, seeds, bootstrap = true, fields = {}}) {
		const gateway = new Gateway();
		const ports = await Promise.all([findPort(host), findPort(host), findPort(host), findPort(host)]);
		const [front, ready, control, directory] = ports.map(port => `${host}:${port}`);
		gateway.addresses = {
			front, ready, control, directory,
		};
		gateway.name = name;
		const settings = {
			node: name, role: 'gateway', instanceClass: 'edge', serves: ['edge', 'control', 'directory'], ip: host, zone: 'z-a', region: 'r-a',
			zones: {'z-a': 'r-a'}, listen: gateway.addresses, portRange: [], seeds: seeds ?? [control], bootstrap, toleranceMember: false,
			limits: {
				cpuShare: 0.54, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0,
			},
			dataDir: null, discovery: 'platform', entry: 'directory', heartbeatMs: 1500,
			contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'health', 'platform'],
			faultTolerance: {machines: 2, zones: 0, regions: 0},
			bounds: {
				seedLagS: 3, addrReuseS: 2, stableWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000,
				rollbackSlackMs: 250, skewMaxMs: 5000, retryBudgetRatio: 0.2, retryWindowS: 10, retryBudgetSlack: 64, recoverS: 15, ttl_max_s: 5, probesPerS: 60,
			},
			platform: {
				address: store.address, form: 'read', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1_048_576, ttlMinMs: 1000,
			},
			...fields,
		};
		gateway.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
		gateway.file = path.join(gateway.folder, 'settings.json');
		fs.writeFileSync(gateway.file, settingsTemplate.replace('{{.|json}}', JSON.stringify(settings)));
		gateway.record = record;
		gateway.run();
		return gateway;
	}

	/** Starts the process, the first time or again. */
	run() {
		const [command, ...args] = runLine.split(' ');
		const child = spawn(command === 'node' ? process.execPath : command, args, {cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, RATTANSILL_NODE_FILE: this.file}});
		this.child = child;
		this.exit = undefined;
		this.ended = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				this.exit = {code, signal};
				this.record.note(`gateway ${this.name} ended: code ${code}, signal ${signal}`);
				resolve();
			});
		});
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8');
			stream.on('data', text => {
				this.record.note(`gateway ${this.name} logs: ${text.trim().replaceAll('\n', ' | ').slice(0, 2000)}`);
			});
		}

		this.record.note(`gateway ${this.name} started, pid ${child.pid}`);
	}

	/** Waits until the gateway says that it is ready. */
	async waitUntilReady(limitMs = 15_000) {
		const endsAt = performance.now() + limitMs;
		while (performance.now() < endsAt) {
			if (await this.askReady() === 200) {
				return;
			}

			await sleep(50);
		}

		throw new Error(`gateway ${this.name} is not ready`);
	}

	/** Resolves with the status of the readiness check; 0 when there is no answer within a second. */
	async askReady() {
		return new Promise(resolve => {
			const request = http.get(`http://${this.addresses.ready}/v1/readiness`, {agent: false, timeout: 1000}, response => {
				response.resume();
				resolve(response.statusCode);
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(0);
			});
		});
	}

	signal(name) {
		this.record.note(`gateway ${this.name} gets ${name}`);
		this.child.kill(name);
	}

	async stop() {
		if (this.exit === undefined) {
			this.child.kill('SIGKILL');
			await this.ended;
		}

		fs.rmSync(this.folder, {recursive: true, force: true});
	}
}

/** Runs a case with a limit of time and exits with its code; `close` ends what it started. */
export const runCase = async ({limitMs = 110_000, record, run, close}) => {
	let code = exitCodes.notRun;
	try {
		const timer = sleep(limitMs, 'late', {ref: false});
		const result = await Promise.race([run(), timer]);
		if (result === 'late') {
			record.tell('the case took too long');
		} else {
			code = result ? exitCodes.broken : exitCodes.held;
		}
	} catch (error) {
		record.tell(`the case could not run: ${error.stack}`);
	}

	await close();
	record.tell(code === exitCodes.broken ? 'BROKEN' : (code === exitCodes.held ? 'HELD' : 'NOT RUN'));
	process.exit(code);
};
