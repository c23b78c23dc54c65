import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {z} from 'zod';
import {entrySettingsSchema} from '../../src/common/entry-settings-schema.js';
import {EntryDaemon} from '../../src/bin/entry-daemon.js';
import {StandInPlatform} from '../../tools/standins/platform/stand-in-platform.js';
import {findFreePorts} from '../../tools/site/find-free-ports.js';

type Settings = z.input<typeof entrySettingsSchema>;

const loopback = '127.0.0.1';
const maxStartAttempts = 5;

/** One entry instance in this process that serves the service `shop` with one target, whose request handler the test provides. */
export class EntryFixture {
	readonly platform = new StandInPlatform();
	readonly target: Server;
	dataPort = 0;
	routePort = 0;
	peerPort = 0;
	operatorPort = 0;
	private _daemon: EntryDaemon | undefined;

	constructor(handler: RequestListener) {
		this.target = createServer({keepAliveTimeout: 60_000}, handler);
	}

	async start(settings: Partial<Settings> = {}, service: Record<string, unknown> = {}): Promise<void> {
		await this.platform.listener.listen({host: loopback, port: 0});
		await new Promise<void>(resolve => {
			this.target.listen(0, loopback, resolve);
		});
		// Without an instance list, an instance uses only its cautious share of each target's connections.
		this.platform.publishValue('rattansill/instances', {maxInstances: 1, instances: []});
		this.platform.publishValue('rattansill/templates/plain', {name: 'plain', parameters: {}, service: this._createService(service)});
		this.platform.publishValue('rattansill/parameters/shop', {
			service: 'shop', team: 'test', template: 'plain', values: {},
		});
		for (let attempt = 1; !await this._startDaemon(settings); attempt++) {
			if (attempt === maxStartAttempts) {
				throw new Error('no free ports for the listeners');
			}
		}
	}

	dispose(): void {
		this._daemon?.dispose();
		this.platform.dispose();
		this.target.closeAllConnections();
		this.target.close();
	}

	/** Starts the daemon on free ports; returns false when it fails, as another process may have taken a port since it was found free. */
	private async _startDaemon(settings: Partial<Settings>): Promise<boolean> {
		const [dataPort = 0, routePort = 0, peerPort = 0, operatorPort = 0] = await findFreePorts(4);
		this.dataPort = dataPort;
		this.routePort = routePort;
		this.peerPort = peerPort;
		this.operatorPort = operatorPort;
		const {listeners} = settings;
		const daemon = new EntryDaemon(entrySettingsSchema.parse({
			instance: {id: 'entry-1', failureDomain: 'a'},
			platform: {urls: [`http://${loopback}:${this.platform.listener.port}`]},
			log: {namespaces: ''},
			...settings,
			listeners: {
				data: {port: dataPort, ...listeners?.data},
				route: {port: routePort, ...listeners?.route},
				peer: {port: peerPort, ...listeners?.peer},
				operator: {port: operatorPort, ...listeners?.operator},
			},
		}));
		this._daemon = daemon;
		const started = await daemon.start();
		if (started.isErr()) {
			daemon.dispose();
		}

		return started.isOk();
	}

	private _createService(fields: Record<string, unknown>): Record<string, unknown> {
		return {
			targets: [{
				id: 'target-1', host: loopback, port: (this.target.address() as AddressInfo).port, failureDomain: 'a',
			}],
			slotsPerTarget: 64,
			longSlotsPerTarget: 32,
			connectionsPerTarget: 250,
			probesPerTargetPerSecond: 0,
			retryRatio: 0.1,
			hedgeRatio: 0,
			hedgeAfterMs: 1000,
			warmUpMs: 0,
			rules: [
				{
					name: 'order', methods: ['POST'], pathPrefix: '/', idempotent: false, class: 'booking', size: 'short', deadlineMs: 3000,
				},
				{
					name: 'read', methods: ['GET', 'HEAD', 'OPTIONS'], pathPrefix: '/', idempotent: true, class: 'interactive', size: 'short', deadlineMs: 3000,
				},
			],
			...fields,
		};
	}
}
