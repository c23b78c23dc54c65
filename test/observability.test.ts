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
import {EntryFixture} from './support/entry-fixture.js';

type ExportedSpan = {readonly name: string; readonly traceId: string; readonly spanId: string; readonly parentSpanId?: string};
type TraceExport = {readonly resourceSpans: ReadonlyArray<{readonly scopeSpans: ReadonlyArray<{readonly spans: readonly ExportedSpan[]}>}>};

const traceId = '0af7651916cd43dd8448eb211c80319c';
const callerSpanId = 'b7ad6b7169203331';

const waitUntil = async (condition: () => boolean | Promise<boolean>) => {
	for (let round = 0; round < 500 && !await condition(); round++) {
		await sleep(10);
	}
};

describe('traces, metrics and logs', () => {
	const cleanups: Array<() => void> = [];
	const startFixture = async (settings: Parameters<EntryFixture['start']>[0]) => {
		const receivedHeaders: IncomingHttpHeaders[] = [];
		const fixture = new EntryFixture((incoming, response) => {
			receivedHeaders.push(incoming.headers);
			response.end('ran');
		});
		cleanups.push(() => {
			fixture.dispose();
		});
		await fixture.start(settings);
		return {fixture, receivedHeaders};
	};

	const startCollector = async () => {
		const spans: ExportedSpan[] = [];
		const server = createServer((incoming, response) => {
			let text = '';
			incoming.setEncoding('utf8').on('data', (part: string) => {
				text += part;
			}).on('end', () => {
				for (const resource of (JSON.parse(text) as TraceExport).resourceSpans) {
					spans.push(...resource.scopeSpans.flatMap(scope => scope.spans));
				}

				response.end('{}');
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		cleanups.push(() => {
			server.closeAllConnections();
			server.close();
		});
		return {spans, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/v1/traces`};
	};

	const sendRequest = async (fixture: EntryFixture, headers: Record<string, string> = {}) => {
		const response = await request(`http://127.0.0.1:${fixture.dataPort}/x`, {headers: {host: 'shop', ...headers}});
		return {status: response.statusCode, text: await response.body.text()};
	};

	afterEach(() => {
		for (const cleanup of cleanups.splice(0)) {
			cleanup();
		}
	});

	it('exports a span for the request and for its attempt, between those of the caller and the target', async () => {
		const collector = await startCollector();
		const {fixture, receivedHeaders} = await startFixture({tracing: {enabled: true, url: collector.url, sampleRatio: 0}});
		await sendRequest(fixture, {traceparent: `00-${traceId}-${callerSpanId}-01`, tracestate: 'vendor=1'});
		await waitUntil(() => collector.spans.length >= 2);
		const requestSpan = collector.spans.find(span => span.name === 'rattansill.request');
		const attemptSpan = collector.spans.find(span => span.name === 'rattansill.try');
		expect(requestSpan).toMatchObject({traceId, parentSpanId: callerSpanId});
		expect(attemptSpan).toMatchObject({traceId, parentSpanId: requestSpan?.spanId});
		expect(receivedHeaders[0]).toMatchObject({traceparent: `00-${traceId}-${attemptSpan?.spanId}-01`, tracestate: 'vendor=1'});
	});

	it.each([
		{
			name: 'a parent that is not sampled',
			traceparent: `00-${traceId}-${callerSpanId}-00`,
			sampleRatio: 1,
			state: 'vendor=1',
			expected: new RegExp(`^00-${traceId}-(?!${callerSpanId})[0-9a-f]{16}-00$`, 'v'),
		},
		{
			name: 'a malformed parent', traceparent: `00-${traceId}-zz-01`, sampleRatio: 1, expected: new RegExp(`^00-(?!${traceId})[0-9a-f]{32}-[0-9a-f]{16}-01$`, 'v'), state: undefined,
		},
		{
			name: 'a parent whose trace id is all zeros', traceparent: `00-${'0'.repeat(32)}-${callerSpanId}-01`, sampleRatio: 0, expected: /^00-[0-9a-f]{32}-[0-9a-f]{16}-00$/v, state: undefined,
		},
	])('propagates the trace context for $name', async ({traceparent, sampleRatio, expected, state}) => {
		const {fixture, receivedHeaders} = await startFixture({tracing: {enabled: true, url: 'http://127.0.0.1:9/', sampleRatio}});
		await sendRequest(fixture, {traceparent, tracestate: 'vendor=1'});
		expect(receivedHeaders[0]?.traceparent).toMatch(expected);
		expect(receivedHeaders[0]?.tracestate).toBe(state);
	});

	it('forwards the trace context unchanged when tracing is disabled', async () => {
		const {fixture, receivedHeaders} = await startFixture({});
		const headers = {traceparent: `00-${traceId}-${callerSpanId}-01`, tracestate: 'vendor=1'};
		await sendRequest(fixture, headers);
		expect(receivedHeaders[0]).toMatchObject(headers);
	});

	it.each([{name: 'closed'}, {name: 'silent'}])('serves every request when the collectors are $name', async ({name}) => {
		const silent = createTcpServer(socket => {
			socket.on('error', () => undefined);
		});
		silent.listen(0, '127.0.0.1');
		await once(silent, 'listening');
		const {port} = silent.address() as AddressInfo;
		const [closedPort = 0] = await findFreePorts(1);
		cleanups.push(() => {
			silent.close();
		});
		const {fixture} = await startFixture({
			tracing: {enabled: true, url: `http://127.0.0.1:${name === 'silent' ? port : closedPort}/v1/traces`, sampleRatio: 1},
			metrics: {enabled: true, port: closedPort},
		});
		const statuses = new Set<number>();
		for (let round = 0; round < 30; round++) {
			const responses = await Promise.all(Array.from({length: 100}, async () => sendRequest(fixture)));
			for (const response of responses) {
				statuses.add(response.status);
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
		cleanups.push(() => {
			socket.close();
		});
		const {fixture} = await startFixture({metrics: {enabled: true, port: socket.address().port}});
		await sendRequest(fixture);
		await sendRequest(fixture, {host: 'nowhere'});
		await waitUntil(() => lines.filter(line => line.startsWith('rattansill.request.')).length >= 4);
		const countLine = lines.find(line => line.startsWith('rattansill.request.count:1|c|#') && line.includes('service:shop'));
		expect(countLine).toMatch(/(?=.*class:interactive)(?=.*outcome:ran)(?=.*error:none)/v);
		expect(lines.find(line => line.startsWith('rattansill.request.count') && line.includes('service:none'))).toMatch(/(?=.*outcome:not run)(?=.*error:unknown-service)/v);
		expect(lines.some(line => /^rattansill\.request\.duration:[\d.]+\|d\|/v.test(line))).toBe(true);
	});

	it.each([{name: 'has closed the pipe'}, {name: 'has stopped reading'}])('keeps serving when the reader of the log $name', async ({name}) => {
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
		cleanups.push(() => {
			child.kill('SIGKILL');
			platform.dispose();
			rmSync(folder, {recursive: true, force: true});
		});
		await once(child.stderr, 'readable');
		if (name === 'has closed the pipe') {
			child.stderr.destroy();
		}

		// Each refused value is logged as one line; together the lines exceed the pipe buffer.
		for (let round = 0; round < 150; round++) {
			const parameters = Object.fromEntries(Array.from({length: 20}, (_, index) => [`p${index}`, {}]));
			platform.publishValue('rattansill/templates/bad', {[`key-${round}`]: 'x'.repeat(500), name: 'x'.repeat(1000), parameters});
			await sleep(5);
		}

		const isOperatorPortResponding = async () => {
			try {
				const response = await request(`http://127.0.0.1:${operator}/`, {headersTimeout: 2000});
				await response.body.dump();
				return response.statusCode === 200;
			} catch {
				return false;
			}
		};

		await waitUntil(isOperatorPortResponding);
		expect(await isOperatorPortResponding()).toBe(true);
		expect(child.exitCode).toBeNull();
	});
});
