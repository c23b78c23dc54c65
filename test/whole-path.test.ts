import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import type {RouteResponse} from '../src/common/route-response.js';
import {SiteName} from '../tools/site/site-name.js';
import {Site} from '../tools/site/site.js';

describe('route lookup and forwarding', () => {
	const site = new Site({
		site: SiteName.Wigroom, entryCount: 1, services: ['lacefront', 'chairbook'], targetsPerService: 2, serviceTimeMs: () => 2,
	});
	const fetchRoute = async (service: string) => {
		const response = await request(`http://127.0.0.1:${site.instances[0]?.routePort}/routes/${service}`);
		return {status: response.statusCode, body: await response.body.json() as RouteResponse};
	};

	beforeAll(async () => {
		await site.start();
	});
	afterAll(() => {
		site.dispose();
	});

	it.each([
		{
			service: 'lacefront', method: 'GET' as const, path: '/styles/7', status: 200,
		},
		{
			service: 'chairbook', method: 'POST' as const, path: '/bookings', status: 200,
		},
		{
			service: 'nowhere', method: 'GET' as const, path: '/', status: 404,
		},
	])('answers $method $service$path with $status', async ({service, method, path, status}) => {
		const route = await fetchRoute('lacefront');
		const address = route.body.addresses[0];
		const response = await request(`http://${address?.host}:${address?.port}${path}`, {method, headers: {host: service}, body: method === 'POST' ? 'headpiece=12' : undefined});
		expect(response.statusCode).toBe(status);
		expect(await response.body.json()).toMatchObject(status === 200 ? {path} : {outcome: 'not run'});
	});

	it('responds with 404 to a route lookup of an unknown service', async () => {
		const response = await fetchRoute('nowhere');
		expect(response.status).toBe(404);
	});
});
