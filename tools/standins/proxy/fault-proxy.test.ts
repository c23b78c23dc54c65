import {setTimeout as sleep} from 'node:timers/promises';
import process from 'node:process';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {Client, request} from 'undici';
import {StandInTarget} from '../target/stand-in-target.js';
import {FaultProxy} from './fault-proxy.js';
import {ProxyFaultKind} from './proxy-fault-kind.js';
import type {ProxyFault} from './proxy-fault.js';

describe('the fault proxy', () => {
	const target = new StandInTarget({id: 'target-1', slots: 4});
	let proxy: FaultProxy;
	const send = async (headers: Record<string, string> = {}) => {
		try {
			const client = new Client(`http://127.0.0.1:${proxy.port}`, {headersTimeout: 300, bodyTimeout: 300});
			const response = await request(`http://127.0.0.1:${proxy.port}/styles`, {dispatcher: client, headers});
			const text = await response.body.text();
			await client.close();
			return text.startsWith('{') ? 'whole' : `other: ${text.length}`;
		} catch (error) {
			return (error as {code?: string}).code ?? (error as Error).message;
		}
	};

	beforeEach(async () => {
		await target.listener.listen({host: '127.0.0.1', port: 0});
		proxy = new FaultProxy({host: '127.0.0.1', port: target.listener.port, listPids: () => [process.pid]});
		await proxy.start();
	});
	afterEach(() => {
		proxy.dispose();
		target.dispose();
	});

	it.each<{fault: ProxyFault | undefined; expected: RegExp}>([
		{fault: undefined, expected: /^whole$/v},
		{fault: {kind: ProxyFaultKind.Refuse}, expected: /ECONNREFUSED/v},
		{fault: {kind: ProxyFaultKind.Reset}, expected: /ECONNRESET|UND_ERR_SOCKET/v},
		{fault: {kind: ProxyFaultKind.Delay, delayMs: 20}, expected: /^whole$/v},
		{fault: {kind: ProxyFaultKind.Truncate, afterBytes: 20}, expected: /UND_ERR_SOCKET|HPE_INVALID/v},
		{fault: {kind: ProxyFaultKind.Blackhole}, expected: /TIMEOUT/v},
	])('yields $expected with the fault $fault and works again after it', async ({fault, expected}) => {
		await proxy.setFault(fault);
		expect(await send()).toMatch(expected);
		await proxy.setFault(undefined);
		expect(await send()).toBe('whole');
	});

	it('discards bytes on open connections while new ones work', async () => {
		const client = new Client(`http://127.0.0.1:${proxy.port}`, {headersTimeout: 300});
		const warm = await client.request({path: '/', method: 'GET'});
		await warm.body.text();
		proxy.blackholeOpenConnections();
		await expect(client.request({path: '/', method: 'GET'})).rejects.toThrow(/Timeout/v);
		expect(await send()).toBe('whole');
		await client.destroy();
	});

	it('partitions a process and reconnects it', async () => {
		proxy.setPartitionedPids([process.pid]);
		expect(await send()).toMatch(/TIMEOUT/v);
		proxy.setPartitionedPids([]);
		await sleep(10);
		expect(await send()).toBe('whole');
	});
});
