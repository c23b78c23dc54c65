import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync, existsSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {request as openRequest} from 'node:http';
import {createServer} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Store} from './store.mjs';
import {Upstream} from './upstream.mjs';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const program = path.join(root, 'target/rattansill-gateway.cjs');

/** The arguments of `run` in deploy/system.toml. */
const gatewayArguments = ['--single-threaded', '--max-semi-space-size=1', '--max-old-space-size=64', 'target/rattansill-gateway.cjs'];

/** Time after the start after which a machine is in touch, in ms: stableWindowMs and a reserve. */
const inTouchMs = 3500;

/** Ports below those that the system gives to outgoing connections. */
const firstPort = 15_000;
const portCount = 17_000;

const isPortFree = async port => {
	const server = createServer();
	const isListening = await new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(true);
		});
	});
	if (isListening) {
		await new Promise(resolve => {
			server.close(resolve);
		});
	}

	return isListening;
};

const findFreePorts = async count => {
	const candidates = new Set();
	while (candidates.size < 3 * count) {
		candidates.add(firstPort + Math.floor(Math.random() * portCount));
	}

	const ports = [...candidates];
	const areFree = await Promise.all(ports.map(async port => isPortFree(port)));
	return ports.filter((_port, index) => areFree[index]).slice(0, count);
};

/** One run of a case: the store, the gateways, the upstreams, the clients' requests and the record. */
export class Case {
	isTrouble = process.env.TROUBLE !== '0';
	store = new Store();
	gateways = [];
	upstreams = [];
	_startedAt = Date.now();
	_folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));

	/** @param recordFile - File that gets what was sent, answered and run. */
	constructor(recordFile) {
		this._recordFile = recordFile;
		writeFileSync(recordFile, '');
		this.record(`trouble: ${this.isTrouble ? 'yes' : 'no'}`);
	}

	/** Writes one line to the record. */
	record(line) {
		appendFileSync(this._recordFile, `${String(Date.now() - this._startedAt).padStart(6)} ms  ${line}\n`);
	}

	/** Runs the case and exits: 1 if `run` returns false (the rule was broken), 0 if it returns true, 2 if it throws. */
	async execute(run) {
		let code = 2;
		process.once('exit', () => {
			this._killGateways();
		});
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, () => {
				this._end();
				process.exit(2);
			});
		}

		const limit = setTimeout(() => {
			this.record('the case took too long');
			this._end();
			process.exit(2); // eslint-disable-line unicorn/no-process-exit
		}, 110_000);
		try {
			if (!existsSync(program)) {
				throw new Error(`${program} is missing: build by the deploy file first`);
			}

			code = await run() ? 0 : 1;
		} catch (error) {
			this.record(`the case could not run: ${error.stack}`);
		}

		clearTimeout(limit);
		this.record(`result: ${['the rule held', 'the rule was broken', 'the case could not run'][code]}`);
		this._end();
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	}

	/** Starts upstreams of a service; `create` gets each of them and its number, and sets how it behaves. */
	async startUpstreams(service, count, create = () => undefined, options = {}) {
		await Promise.all(Array.from({length: count}, async (_item, index) => {
			const upstream = new Upstream(`i-${index}`, service, options);
			create(upstream, index);
			this.upstreams.push(upstream);
			await upstream.listen();
		}));
	}

	/** Starts the store with a configuration and the records of the upstreams. */
	async startStore(configuration) {
		await this.store.listen();
		this.publish('r12', configuration);
		for (const upstream of this.upstreams) {
			this.store.set(`servers/${upstream.id}`, upstream.record);
		}
	}

	/** Writes a configuration to the store, as the operator does. */
	publish(version, {services, routes, limits = {}}) {
		this.store.set('op/config', {
			version,
			routes: routes.map(route => ({
				hostname: 'shop.example', kind: 'safe', timeoutMs: 4000, targetLatencyMs: 500, priority: 1, maxAttempts: 2, ...route,
			})),
			services: services.map(name => ({
				name, healthPath: '/health', maxConns: 260, protocol: 'h1', tls: false,
			})),
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3000, idleTimeoutMs: 15_000, ...limits,
			},
		});
		this.record(`configuration ${version} is written`);
	}

	/** Starts gateways as the deploy file does, one for each failure domain that is named, and waits until they are ready. */
	async startGateways(zones) {
		const ports = await findFreePorts(5 * zones.length);
		const seeds = zones.slice(0, 3).map((_zone, index) => `127.0.0.1:${ports[(5 * index) + 2]}`);
		for (const [index, zone] of zones.entries()) {
			const [data, readiness, peer, route, metrics] = ports.slice(5 * index, 5 * (index + 1)).map(port => `127.0.0.1:${port}`);
			const id = `edge-${index + 1}`;
			const settings = {
				node: id,
				ip: '127.0.0.1',
				zone,
				region: 'kingston',
				zones: Object.fromEntries(zones.map(name => [name, 'kingston'])),
				seeds,
				bootstrap: true,
				listen: {
					front: data, ready: readiness, control: peer, directory: route, metrics,
				},
				limits: {cpuShare: 0.54, memoryMb: 350},
				bounds: {
					drainMs: 2000, configApplyMs: 2000, graceS: 6, retryBudgetRatio: 0.2, retryBudgetSlack: 64, retryWindowS: 10, probesPerS: 60,
				},
				platform: {address: this.store.address},
			};
			const file = path.join(this._folder, `edge-${index + 1}.json`);
			writeFileSync(file, JSON.stringify(settings));
			const gateway = {
				id,
				listeners: {
					data, readiness, peer, route, metrics,
				},
				file,
				output: '',
			};
			this.gateways.push(gateway);
			this.startProcess(gateway);
		}

		await Promise.all(this.gateways.map(async gateway => this.waitUntilReady(gateway)));

		await sleep(inTouchMs);
		this.record(`${zones.length} gateways are ready and in touch`);
	}

	/** Polls the readiness of a gateway; throws after 15 s. */
	async waitUntilReady(gateway, endsAt = Date.now() + 15_000) {
		if (await this.readStatus(gateway.listeners.readiness, '/v1/readiness') === 200) {
			return;
		}

		if (Date.now() > endsAt) {
			throw new Error(`${gateway.id} is not ready after 15 s: ${gateway.output.slice(-500)}`);
		}

		await sleep(50);
		await this.waitUntilReady(gateway, endsAt);
	}

	/** Starts, or starts again, the process of a gateway. */
	startProcess(gateway) {
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(process.execPath, gatewayArguments, {
			cwd: root, env: {
				PATH, HOME, LANG, RATTANSILL_NODE_FILE: gateway.file,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		gateway.process = child;
		gateway.exit = undefined;
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8');
			stream.on('data', text => {
				gateway.output = (gateway.output + text).slice(-100_000);
			});
		}

		child.once('exit', (code, signal) => {
			gateway.exit = {code, signal};
			this.record(`${gateway.id} (pid ${child.pid}) ended: code ${code}, signal ${signal}`);
		});
		this.record(`${gateway.id} started (pid ${child.pid})`);
	}

	/** Stops a process as the platform does: SIGTERM, and SIGKILL after graceS. Resolves when it has ended. */
	async stopProcess(gateway, graceMs) {
		const ended = once(gateway.process, 'exit');
		this.record(`SIGTERM to ${gateway.id}`);
		gateway.process.kill('SIGTERM');
		const timer = setTimeout(() => {
			this.record(`SIGKILL to ${gateway.id}`);
			gateway.process.kill('SIGKILL');
		}, graceMs);
		await ended;
		clearTimeout(timer);
	}

	/** Reads the status of a GET request; 0 when there is no answer within a second. */
	async readStatus(address, target) {
		const [host, port] = address.split(':');
		return new Promise(resolve => {
			const request = openRequest({
				host, port, path: target, agent: false, timeout: 1000,
			}, response => {
				response.resume();
				resolve(response.statusCode);
			});
			request.once('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(0);
			});
			request.end();
		});
	}

	/**
	Sends a client's request and resolves with what the client sees: {status, headers, body, isComplete, tookMs}, with status 0 and an error when the
	connection ends without an answer or the client gives up after `waitMs`.
	*/
	async call(gateway, {method = 'GET', target, id, deadlineMs = 4000, waitMs = deadlineMs, body, headers = {}, agent = false}) {
		const [host, port] = gateway.listeners.data.split(':');
		const startedAt = Date.now();
		const result = await new Promise(resolve => {
			const finish = outcome => {
				clearTimeout(timer);
				resolve({
					...outcome, id, gateway: gateway.id, sentAt: startedAt, endedAt: Date.now(), tookMs: Date.now() - startedAt,
				});
			};

			const request = openRequest({
				host, port, method, path: target, agent, headers: {
					Host: 'shop.example', 'Attempt-Id': id, 'Deadline-Ms': String(deadlineMs), ...headers,
				},
			}, response => {
				let text = '';
				response.setEncoding('utf8');
				response.on('data', part => {
					text += part;
				});
				response.on('error', () => undefined);
				response.on('close', () => {
					finish({
						status: response.statusCode, headers: response.headers, body: text, isComplete: response.complete,
					});
				});
			});
			const timer = setTimeout(() => {
				finish({status: 0, error: `no answer within ${waitMs} ms`});
				request.destroy();
			}, waitMs);
			request.on('error', error => {
				finish({status: 0, error: error.message});
			});
			request.end(body);
		});
		const outcome = result.status === 0 ? result.error : `${result.status} ${result.isComplete ? 'complete' : 'cut'} ${JSON.stringify(result.body.slice(0, 60))}`;
		this.record(`${gateway.id}: ${id} ${method} ${target} -> ${outcome} after ${result.tookMs} ms`);
		return result;
	}

	_killGateways() {
		for (const {process: child, exit} of this.gateways) {
			if (exit === undefined) {
				child?.kill('SIGKILL');
			}
		}
	}

	_end() {
		this._killGateways();
		for (const upstream of this.upstreams) {
			this.record(`${upstream.id} ran ${upstream.ran.length} requests`);
			upstream.close();
		}

		this.store.close();
		rmSync(this._folder, {recursive: true, force: true});
	}
}
