import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import {EntryFixture} from './support/entry-fixture.js';
import {sendRaw} from './support/send-raw.js';

const bodyLimitBytes = 2000;
const head = 'Host: shop\r\nConnection: close\r\n';
const createGetRequest = (extra = '') => `GET /x HTTP/1.1\r\n${head}${extra}\r\n`;

describe('the data listener', () => {
	const handledRequests: string[] = [];
	const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
		let bytes = 0;
		try {
			for await (const chunk of request) {
				bytes += (chunk as Uint8Array).length;
			}
		} catch {
			return;
		}

		handledRequests.push(`${request.method} ${request.url} ${bytes}`);
		if (request.url === '/cut') {
			response.writeHead(200, {'content-length': 100});
			response.write('half');
			await sleep(20);
			response.destroy();
			return;
		}

		if (request.url === '/cut-chunked') {
			response.write('half');
			await sleep(20);
			response.destroy();
			return;
		}

		if (request.url === '/early') {
			response.writeEarlyHints({link: '</a.css>; rel=preload'});
			await sleep(5);
		}

		if (request.url === '/none') {
			response.writeHead(204).end();
			return;
		}

		if (request.url === '/same') {
			response.writeHead(304, {etag: '"1"'}).end();
			return;
		}

		if (request.url === '/trailers') {
			response.writeHead(200, {trailer: 'x-sum'});
			response.write('whole');
			response.addTrailers({'x-sum': '1'});
			response.end();
			return;
		}

		response.end(`ran ${request.method} ${request.url} ${bytes}`);
	};

	const fixture = new EntryFixture((request, response) => {
		void handleRequest(request, response);
	});

	beforeAll(async () => {
		await fixture.start({
			limits: {
				headerBytes: 4096, bodyBytes: bodyLimitBytes, headersTimeoutMs: 400, requestTimeoutMs: 800,
			},
		});
	});
	afterAll(() => {
		fixture.dispose();
	});
	beforeEach(() => {
		handledRequests.length = 0;
	});

	const bigChunk = `${bodyLimitBytes.toString(16)}\r\n${'a'.repeat(bodyLimitBytes)}\r\n`;

	it.each([
		{name: 'both Content-Length and Transfer-Encoding', parts: [`POST / HTTP/1.1\r\n${head}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`], status: 400},
		{name: 'two Content-Length', parts: [`POST / HTTP/1.1\r\n${head}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd`], status: 400},
		{name: 'two equal Content-Length', parts: [`POST / HTTP/1.1\r\n${head}Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc`], status: 400},
		{name: 'a list as Content-Length', parts: [`POST / HTTP/1.1\r\n${head}Content-Length: 3, 3\r\n\r\nabc`], status: 400},
		{name: 'a signed Content-Length', parts: [`POST / HTTP/1.1\r\n${head}Content-Length: +3\r\n\r\nabc`], status: 400},
		{name: 'a coding before chunked', parts: [`POST / HTTP/1.1\r\n${head}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`], status: 400},
		{name: 'chunked twice', parts: [`POST / HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`], status: 400},
		{name: 'chunked misspelt', parts: [`POST / HTTP/1.1\r\n${head}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`], status: 400},
		{name: 'a space before the colon', parts: [`POST / HTTP/1.1\r\n${head}Content-Length : 3\r\n\r\nabc`], status: 400},
		{name: 'a folded header', parts: [createGetRequest('X-Long: a\r\n b\r\n')], status: 400},
		{name: 'a bare LF', parts: ['GET / HTTP/1.1\nHost: shop\n\n'], status: 400},
		{name: 'a NUL in a header', parts: [createGetRequest('X-A: a\0b\r\n')], status: 400},
		{name: 'a CR in a header', parts: [createGetRequest('X-A: a\rb\r\n')], status: 400},
		{name: 'no Host', parts: ['GET / HTTP/1.1\r\nConnection: close\r\n\r\n'], status: 400},
		{name: 'two Host', parts: [`GET / HTTP/1.1\r\n${head}Host: other\r\n\r\n`], status: 400},
		{name: 'a malformed Host', parts: ['GET / HTTP/1.1\r\nHost: shop/x\r\nConnection: close\r\n\r\n'], status: 400},
		{name: 'no Host in HTTP/1.0', parts: ['GET / HTTP/1.0\r\n\r\n'], status: 400},
		{name: 'an authority that differs from Host', parts: [`GET http://other/x HTTP/1.1\r\n${head}\r\n`], status: 400},
		{name: 'a target without a slash', parts: [`GET x HTTP/1.1\r\n${head}\r\n`], status: 400},
		{name: 'a fragment', parts: [`GET /x#y HTTP/1.1\r\n${head}\r\n`], status: 400},
		{name: 'a byte above ASCII in the target', parts: [`GET /\u00E9 HTTP/1.1\r\n${head}\r\n`], status: 400},
		{name: 'a space in the target', parts: [`GET /a b HTTP/1.1\r\n${head}\r\n`], status: 400},
		{name: 'an unknown method', parts: [`BREW / HTTP/1.1\r\n${head}\r\n`], status: 400},
		{name: 'an unknown version', parts: [`GET / HTTP/3.7\r\n${head}\r\n`], status: 400},
		{name: 'the HTTP/2 connection preface', parts: ['PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'], status: 400},
		{name: 'bytes that are not HTTP', parts: [Buffer.from([0x16, 3, 1, 0, 5, 1, 0, 0, 1, 0])], status: 400},
		{name: 'CONNECT', parts: ['CONNECT shop:80 HTTP/1.1\r\nHost: shop\r\n\r\n'], status: 405},
		{name: 'TRACE', parts: [`TRACE / HTTP/1.1\r\n${head}\r\n`], status: 405},
		{name: 'a method without a rule', parts: [`DELETE / HTTP/1.1\r\n${head}\r\n`], status: 405},
		{name: 'an unknown service', parts: ['GET / HTTP/1.1\r\nHost: nowhere\r\nConnection: close\r\n\r\n'], status: 404},
		{name: 'large headers', parts: [createGetRequest(`X-A: ${'a'.repeat(5000)}\r\n`)], status: 431},
		{name: 'a large declared body', parts: [`POST / HTTP/1.1\r\n${head}Content-Length: ${bodyLimitBytes + 1}\r\n\r\n`], status: 413},
		{name: 'a large declared body that expects 100-continue', parts: [`POST / HTTP/1.1\r\n${head}Expect: 100-continue\r\nContent-Length: ${bodyLimitBytes + 1}\r\n\r\n`], status: 413},
		{name: 'a timeout header that is not a number', parts: [createGetRequest('X-Request-Timeout-Ms: soon\r\n')], status: 400},
		{name: 'slow headers', parts: ['GET / HTTP/1.1\r\nHost: shop\r\nX-'], status: 408},
	])('refuses $name with $status and does not forward it', async ({parts, status}) => {
		const response = await sendRaw(fixture.dataPort, parts);
		expect(response.text).toMatch(new RegExp(`^HTTP/1.1 ${status} `, 'v'));
		expect(response.text).toContain('application/problem+json');
		expect(response.text).toContain('rattansill-outcome: not run');
		expect(handledRequests).toEqual([]);
	});

	it.each([
		{name: 'a chunked body over the limit', parts: [`POST / HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\n${bigChunk}`, bigChunk], status: 413},
		{name: 'a bad chunk size', parts: [`POST / HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`, 'zz\r\nabc\r\n'], status: 400},
		{name: 'a chunk longer than its size', parts: [`POST / HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`, '2\r\nabcdef\r\n'], status: 400},
		{name: 'a slow body', parts: [`POST / HTTP/1.1\r\n${head}Content-Length: 10\r\n\r\nabc`], status: 408},
	])('refuses $name with $status and an outcome that is proven', async ({parts, status}) => {
		const response = await sendRaw(fixture.dataPort, parts, {pauseMs: 30});
		expect(response.text).toMatch(new RegExp(`^HTTP/1.1 ${status} `, 'v'));
		expect(response.text).toMatch(/rattansill-outcome: (?:unknown|not run)/v);
		expect(response.text.toLowerCase()).toContain('connection: close');
		expect(handledRequests).toEqual([]);
	});

	it.each([
		{name: 'a plain GET', parts: [createGetRequest()], ran: 'GET /x 0'},
		{name: 'an upper-case Host with a port', parts: ['GET /x HTTP/1.1\r\nHost: SHOP:80\r\nConnection: close\r\n\r\n'], ran: 'GET /x 0'},
		{name: 'an absolute target', parts: [`GET http://shop/x?y=1 HTTP/1.1\r\n${head}\r\n`], ran: 'GET /x?y=1 0'},
		{name: 'HTTP/1.0', parts: ['GET /x HTTP/1.0\r\nHost: shop\r\n\r\n'], ran: 'GET /x 0'},
		{name: 'an upgrade request', parts: ['GET /x HTTP/1.1\r\nHost: shop\r\nConnection: close, upgrade\r\nUpgrade: websocket\r\n\r\n'], ran: 'GET /x 0'},
		{name: 'a body that expects 100-continue', parts: [`POST /x HTTP/1.1\r\n${head}Expect: 100-continue\r\nContent-Length: 3\r\n\r\n`, 'abc'], ran: 'POST /x 3'},
		{name: 'an unknown expectation', parts: [createGetRequest('Expect: wonders\r\n')], ran: 'GET /x 0'},
		{name: 'a chunked body', parts: [`POST /x HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\n`, '3\r\nabc\r\n', '2\r\nde\r\n', '0\r\n\r\n'], ran: 'POST /x 5'},
		{name: 'a chunked body up to the limit', parts: [`POST /x HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\n${bigChunk}0\r\n\r\n`], ran: `POST /x ${bodyLimitBytes}`},
		{
			name: 'a request whose response has no body', parts: [`GET /none HTTP/1.1\r\n${head}\r\n`], ran: 'GET /none 0', status: 204,
		},
		{
			name: 'a request whose response is 304', parts: [`GET /same HTTP/1.1\r\n${head}\r\n`], ran: 'GET /same 0', status: 304,
		},
		{name: 'a request whose response follows early hints', parts: [`GET /early HTTP/1.1\r\n${head}\r\n`], ran: 'GET /early 0'},
		{name: 'a request whose response has trailers', parts: [`GET /trailers HTTP/1.1\r\n${head}\r\n`], ran: 'GET /trailers 0'},
		{name: 'HEAD', parts: [`HEAD /x HTTP/1.1\r\n${head}\r\n`], ran: 'HEAD /x 0'},
	])('forwards $name', async ({parts, ran, status = 200}) => {
		const response = await sendRaw(fixture.dataPort, parts, {pauseMs: 20});
		expect(response.text).toMatch(new RegExp(`^(?:HTTP/1.1 100 Continue\\r\\n\\r\\n)?HTTP/1.1 ${status} `, 'v'));
		expect(response.isReset).toBe(false);
		expect(handledRequests).toEqual([ran]);
	});

	it('responds to pipelined requests in order, and to those before a malformed one', async () => {
		const createPipelinedRequest = (path: string) => `GET ${path} HTTP/1.1\r\nHost: shop\r\n\r\n`;
		const response = await sendRaw(fixture.dataPort, [`${createPipelinedRequest('/early')}${createPipelinedRequest('/2')}${createPipelinedRequest('/3')}GARBAGE\r\n\r\n`]);
		const bodies = [...response.text.matchAll(/ran GET (?<path>\S+) 0/gv)].map(match => match.groups?.path);
		expect(bodies).toEqual(['/early', '/2', '/3']);
	});

	it.each([
		{name: 'with a length', request: `GET /cut HTTP/1.1\r\n${head}\r\n`},
		{name: 'with chunks', request: `GET /cut-chunked HTTP/1.1\r\n${head}\r\n`},
		{name: 'with chunks to HTTP/1.0', request: 'GET /cut-chunked HTTP/1.0\r\nHost: shop\r\n\r\n'},
	])('never delivers a truncated response $name as complete', async ({request}) => {
		const response = await sendRaw(fixture.dataPort, [request]);
		const hasDelimitedBody = /content-length: 100|transfer-encoding: chunked/iv.test(response.text);
		expect(response.text).not.toContain('\r\n0\r\n\r\n');
		expect(hasDelimitedBody || response.isReset).toBe(true);
	});
});
