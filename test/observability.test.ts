import {spawn} from 'node:child_process';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type IncomingHttpHeaders} from 'node:http';
import {createServer as createTcpServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {findFreePorts} from '../tools/site/find-free-ports.js';
import {projectRoot} from '../tools/site/project-root.js';
import {StandInPlatform} from '../tools/standins/platform/stand-in-platform.js';
import {DaemonBench} from './support/daemon-bench.js';

type ExportedSpan = {readonly name: string; readonly traceId: string; readonly spanId: string; readonly parentSpanId?: string};
type Export = {readonly resourceSpans: ReadonlyArray<{readonly scopeSpans: ReadonlyArray<{readonly spans: readonly ExportedSpan[]}>}>};

const traceId = '0af7651916cd43dd8448eb211c80319c';
const callerSpan = 'b7ad6b7169203331';

const waitUntil = async (condition: () => boolean | Promise<boolean>) => {
	for (let round = 0; round < 500 && !await condition(); round++) {
		await sleep(10);
	}
};

describe('traces, metrics and logs', () => {
	const opened: Array<() => void> = [];
	const startBench = async (settings: Parameters<DaemonBench['start']>[0]) => {
		const seen: IncomingHttpHeaders[] = [];
		const bench = new DaemonBench((incoming, response) => {
			seen.push(incoming.headers);
			response.end('ran');
		});
		opened.push(() => {
			bench.dispose();
		});
		await bench.start(settings);
		return {bench, seen};
	};

	const startReceiver = async () => {
		const spans: ExportedSpan[] = [];
		const server = createServer((incoming, response) => {
			let text = '';
			incoming.setEncoding('utf8').on('data', (part: string) => {
				text += part;
			}).on('end', () => {
				for (const resource of (JSON.parse(text) as Export).resourceSpans) {
					spans.push(...resource.scopeSpans.flatMap(scope => scope.spans));
				}

				response.end('{}');
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		opened.push(() => {
			server.closeAllConnections();
			server.close();
		});
		return {spans, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/v1/traces`};
	};

	const call = async (bench: DaemonBench, headers: Record<string, string> = {}) => {
		const answer = await request(`http://127.0.0.1:${bench.dataPort}/x`, {headers: {host: 'shop', ...headers}});
		return {status: answer.statusCode, text: await answer.body.text()};
	};

	afterEach(() => {
		for (const close of opened.splice(0)) {
			close();
		}
	});

	it('exports a span for each hop, below the caller and above the target', async () => {
		const receiver = await startReceiver();
		const {bench, seen} = await startBench({tracing: {enabled: true, url: receiver.url, sampleRatio: 0}});
		await call(bench, {traceparent: `00-${traceId}-${callerSpan}-01`, tracestate: 'vendor=1'});
		await waitUntil(() => receiver.spans.length >= 2);
		const served = receiver.spans.find(span => span.name === 'rattansill.request');
		const tried = receiver.spans.find(span => span.name === 'rattansill.try');
		expect(served).toMatchObject({traceId, parentSpanId: callerSpan});
		expect(tried).toMatchObject({traceId, parentSpanId: served?.spanId});
		expect(seen[0]).toMatchObject({traceparent: `00-${traceId}-${tried?.spanId}-01`, tracestate: 'vendor=1'});
	});

	it.each([
		{
			name: 'a parent that is not sampled',
			traceparent: `00-${traceId}-${callerSpan}-00`,
			sampleRatio: 1,
			state: 'vendor=1',
			expected: new RegExp(`^00-${traceId}-(?!${callerSpan})[0-9a-f]{16}-00$`, 'v'),
		},
		{
			name: 'a malformed parent', traceparent: `00-${traceId}-zz-01`, sampleRatio: 1, expected: new RegExp(`^00-(?!${traceId})[0-9a-f]{32}-[0-9a-f]{16}-01$`, 'v'), state: undefined,
		},
		{
			name: 'a parent of zeros', traceparent: `00-${'0'.repeat(32)}-${callerSpan}-01`, sampleRatio: 0, expected: /^00-[0-9a-f]{32}-[0-9a-f]{16}-00$/v, state: undefined,
		},
	])('passes on the context for $name', async ({traceparent, sampleRatio, expected, state}) => {
		const {bench, seen} = await startBench({tracing: {enabled: true, url: 'http://127.0.0.1:9/', sampleRatio}});
		await call(bench, {traceparent, tracestate: 'vendor=1'});
		expect(seen[0]?.traceparent).toMatch(expected);
		expect(seen[0]?.tracestate).toBe(state);
	});

	it('leaves the context alone when traces are off', async () => {
		const {bench, seen} = await startBench({});
		const headers = {traceparent: `00-${traceId}-${callerSpan}-01`, tracestate: 'vendor=1'};
		await call(bench, headers);
		expect(seen[0]).toMatchObject(headers);
	});

	it.each([{name: 'closed'}, {name: 'silent'}])('answers every request when the receivers are $name', async ({name}) => {
		const silent = createTcpServer(socket => {
			socket.on('error', () => undefined);
		});
		silent.listen(0, '127.0.0.1');
		await once(silent, 'listening');
		const {port} = silent.address() as AddressInfo;
		const [closedPort = 0] = await findFreePorts(1);
		opened.push(() => {
			silent.close();
		});
		const {bench} = await startBench({
			tracing: {enabled: true, url: `http://127.0.0.1:${name === 'silent' ? port : closedPort}/v1/traces`, sampleRatio: 1},
			metrics: {enabled: true, port: closedPort},
		});
		const statuses = new Set<number>();
		for (let round = 0; round < 30; round++) {
			const answers = await Promise.all(Array.from({length: 100}, async () => call(bench)));
			for (const answer of answers) {
				statuses.add(answer.status);
			}
		}

		expect([...statuses]).toEqual([200]);
	});

	it('sends a count and a duration with service, class and outcome', async () => {
		const socket = createSocket('udp4');
		const lines: string[] = [];
		socket.on('message', message => {
			lines.push(...message.toString().split('\n'));
		});
		socket.bind(0, '127.0.0.1');
		await once(socket, 'listening');
		opened.push(() => {
			socket.close();
		});
		const {bench} = await startBench({metrics: {enabled: true, port: socket.address().port}});
		await call(bench);
		await call(bench, {host: 'nowhere'});
		await waitUntil(() => lines.filter(line => line.startsWith('rattansill.request.')).length >= 4);
		const counted = lines.find(line => line.startsWith('rattansill.request.count:1|c|#') && line.includes('service:shop'));
		expect(counted).toMatch(/(?=.*class:interactive)(?=.*outcome:ran)(?=.*error:none)/v);
		expect(lines.find(line => line.startsWith('rattansill.request.count') && line.includes('service:none'))).toMatch(/(?=.*outcome:not run)(?=.*error:unknown-service)/v);
		expect(lines.some(line => /^rattansill\.request\.duration:[\d.]+\|d\|/v.test(line))).toBe(true);
	});

	it.each([{name: 'has gone'}, {name: 'has stopped reading'}])('serves on when the reader of the log $name', async ({name}) => {
		const platform = new StandInPlatform();
		await platform.listener.listen({host: '127.0.0.1', port: 0});
		const [data = 0, route = 0, peer = 0, operator = 0] = await findFreePorts(4);
		const folder = mkdtempSync(path.join(tmpdir(), 'rattansill-'));
		const file = path.join(folder, 'entry.json');
		writeFileSync(file, JSON.stringify({
			instance: {id: 'entry-1', failureDomain: 'a'},
			listeners: {
				data: {port: data}, route: {port: route}, peer: {port: peer}, operator: {port: operator},
			},
			platform: {urls: [`http://127.0.0.1:${platform.listener.port}`]},
		}));
		platform.publishValue('rattansill/templates/bad', {});
		const child = spawn(process.execPath, [path.join(projectRoot, 'dist/src/bin/rattansill-entry.js'), '--settings', file], {stdio: ['ignore', 'ignore', 'pipe']});
		opened.push(() => {
			child.kill('SIGKILL');
			platform.dispose();
			rmSync(folder, {recursive: true, force: true});
		});
		await once(child.stderr, 'readable');
		if (name === 'has gone') {
			child.stderr.destroy();
		}

		// Each refused value is one log line; together they pass what a pipe holds.
		for (let round = 0; round < 150; round++) {
			const parameters = Object.fromEntries(Array.from({length: 20}, (_, index) => [`p${index}`, {}]));
			platform.publishValue('rattansill/templates/bad', {[`key-${round}`]: 'x'.repeat(500), name: 'x'.repeat(1000), parameters});
			await sleep(5);
		}

		const ask = async () => {
			try {
				const answer = await request(`http://127.0.0.1:${operator}/`, {headersTimeout: 2000});
				await answer.body.dump();
				return answer.statusCode === 200;
			} catch {
				return false;
			}
		};

		await waitUntil(ask);
		expect(await ask()).toBe(true);
		expect(child.exitCode).toBeNull();
	});
});
