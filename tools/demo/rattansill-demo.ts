#!/usr/bin/env node
import process from 'node:process';
import {request} from 'undici';
import type {RouteAnswer} from '../../src/common/route-answer.js';
import {SiteName} from '../site/site-name.js';
import {Site} from '../site/site.js';

const requestCount = 200;

const site = new Site({
	site: SiteName.Wigroom, entryCount: 2, targetsPerService: 2, serviceTimeMs: () => 5,
});
await site.start();
const routePort = site.instances[0]?.routePort ?? 0;
for (const service of site.services) {
	const asked = await request(`http://127.0.0.1:${routePort}/routes/${service}`);
	const route = await asked.body.json() as RouteAnswer;
	const address = route.addresses[0];
	let whole = 0;
	for (let index = 0; index < requestCount / site.services.length; index++) {
		const answer = await request(`http://${address?.host}:${address?.port}/styles/${index}`, {headers: {host: service}});
		await answer.body.text();
		whole += answer.statusCode === 200 ? 1 : 0;
	}

	process.stdout.write(`${service}: ${whole} whole answers\n`);
}

await Promise.all(site.entries.map(async entry => entry.stop()));
site.dispose();
