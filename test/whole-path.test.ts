import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import type {RouteAnswer} from '../src/common/route-answer.js';
import {SiteName} from '../tools/site/site-name.js';
import {Site} from '../tools/site/site.js';

describe('the whole path', () => {
	const site = new Site({
		site: SiteName.Wigroom, entryCount: 1, services: ['lacefront', 'chairbook'], targetsPerService: 2, serviceTimeMs: () => 2,
	});
	const askRoute = async (service: string) => {
		const answer = await request(`http://127.0.0.1:${site.instances[0]?.routePort}/routes/${service}`);
		return {status: answer.statusCode, body: await answer.body.json() as RouteAnswer};
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
		const route = await askRoute('lacefront');
		const address = route.body.addresses[0];
		const answer = await request(`http://${address?.host}:${address?.port}${path}`, {method, headers: {host: service}, body: method === 'POST' ? 'headpiece=12' : undefined});
		expect(answer.statusCode).toBe(status);
		expect(await answer.body.json()).toMatchObject(status === 200 ? {path} : {outcome: 'not run'});
	});

	it('answers no route for an unknown service', async () => {
		const answer = await askRoute('nowhere');
		expect(answer.status).toBe(404);
	});
});
