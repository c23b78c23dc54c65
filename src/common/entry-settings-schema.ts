import {z} from 'zod';
import {DecisionPolicy} from './decision-policy.js';

const port = z.int().min(0).max(65_535);
const advertisedPort = port.optional().describe('Advertised port of the listener; the port that it listens on when absent.');
const createListenerSchema = (defaultPort: number) => z.strictObject({
	host: z.string().min(1).default('127.0.0.1').describe('IP address to listen on.'),
	port: port.default(defaultPort).describe('TCP port; 0 selects a free port.'),
}).prefault({});

/** Schema of the settings of `rattansill-entry`; docs/SETTINGS.md explains each key. */
export const entrySettingsSchema = z.strictObject({
	instance: z.strictObject({
		id: z.string().min(1).max(128).describe('Name, unique within the fleet.'),
		host: z.string().min(1).default('127.0.0.1').describe('Advertised IP address, at which callers and peers reach this instance.'),
		failureDomain: z.string().min(1).max(128).describe('Failure domain in which this instance runs.'),
		region: z.string().min(1).max(128).default('default').describe('Region in which this instance runs.'),
		ports: z.strictObject({
			data: advertisedPort, route: advertisedPort, peer: advertisedPort, operator: advertisedPort,
		}).prefault({}).describe('Advertised ports of the listeners, where a port mapping makes them differ.'),
	}),
	listeners: z.strictObject({
		data: createListenerSchema(7100),
		route: createListenerSchema(7101),
		peer: createListenerSchema(7102),
		operator: createListenerSchema(7103),
	}).prefault({}),
	platform: z.strictObject({
		urls: z.array(z.url({protocol: /^https?$/v})).min(1).describe('Base URLs of the configuration service, in order of preference.'),
		prefix: z.string().min(1).default('rattansill').describe('Key prefix under which the operators publish the configuration.'),
		waitMs: z.int().min(100).max(600_000).default(30_000).describe('Maximum wait of one watch call, in ms.'),
		callsPerSecond: z.int().min(1).max(1_000_000).default(2000).describe('Calls per second that all entry instances together may make; an open watch counts as one.'),
		readersPerKey: z.int().min(1).max(16).default(2).describe('Instances that watch each key and forward its changes to the others.'),
	}),
	peers: z.strictObject({
		seeds: z.array(z.strictObject({
			host: z.string().min(1).describe('IP address of a peer.'),
			port: port.describe('Peer port of that peer.'),
		})).max(64).default([]).describe('Peers to contact when the instance list cannot be read.'),
	}).prefault({}),
	limits: z.strictObject({
		headerBytes: z.int().min(1024).max(1_048_576).default(16_384).describe('Maximum size of the request headers, in bytes.'),
		bodyBytes: z.int().min(0).max(1_073_741_824).default(16_777_216).describe('Maximum size of a request body, in bytes.'),
		heldBodyBytes: z.int().min(0).max(16_777_216).default(65_536).describe('Bytes of a request body that are buffered for retries.'),
		headersTimeoutMs: z.int().min(100).max(600_000).default(10_000).describe('Timeout for receiving the headers of a request, in ms.'),
		requestTimeoutMs: z.int().min(100).max(3_600_000).default(60_000).describe('Timeout for receiving a complete request, in ms.'),
		callerConnections: z.int().min(1).max(1_000_000).default(10_000).describe('Maximum number of connections from callers.'),
		connectTimeoutMs: z.int().min(1).max(60_000).default(1000).describe('Timeout for opening a connection to a target, in ms.'),
	}).refine(limits => limits.headersTimeoutMs <= limits.requestTimeoutMs, {
		path: ['headersTimeoutMs'], error: 'must be at most requestTimeoutMs',
	}).prefault({}),
	log: z.strictObject({
		namespaces: z.string().default('rattansill:*:error,rattansill:*:info').describe('Namespaces to log, in the syntax of the `debug` library.'),
	}).prefault({}),
	metrics: z.strictObject({
		enabled: z.boolean().default(false).describe('Whether metrics are sent.'),
		host: z.string().min(1).default('127.0.0.1').describe('IP address of the StatsD receiver.'),
		port: port.default(8125).describe('UDP port of the StatsD receiver.'),
		prefix: z.string().default('rattansill.').describe('Prefix of every metric name.'),
	}).prefault({}),
	tracing: z.strictObject({
		enabled: z.boolean().default(false).describe('Whether requests are traced; when disabled, the trace context is forwarded unchanged.'),
		url: z.url().default('http://127.0.0.1:4318/v1/traces').describe('OTLP/HTTP endpoint for traces.'),
		sampleRatio: z.number().min(0).max(1).default(0.01).describe('Fraction of the requests without a sampling decision by the caller that are traced.'),
	}).prefault({}),
	routes: z.strictObject({
		lifetimeMs: z.int().min(100).max(600_000).default(2000).describe('Time to live of a route response, in ms.'),
		entriesPerService: z.int().min(1).max(65_536).optional().describe('Entries per service; computed from the size of the service when absent.'),
		maxEntriesPerService: z.int().min(1).max(65_536).default(16).describe('Maximum number of entries per service; 1 sends all callers of a service to one entry.'),
		slotsPerEntry: z.int().min(1).max(1_000_000).default(64).describe('Target slots per entry, from which the number of entries of a service is computed.'),
	}).prefault({}),
	decisions: z.strictObject({
		policy: z.enum(DecisionPolicy).default(DecisionPolicy.Rattansill).describe('Load balancing policy; all but `rattansill` are baselines for measurements.'),
		shareIntervalMs: z.int().min(1).max(10_000).default(10).describe('Time over which changes of the in-flight counts are batched before they are sent to the other entries of a service, in ms.'),
		shareBytesPerSecond: z.int().min(100).max(100_000_000).default(9000).describe('Bytes per second that the exchange of in-flight counts may send, including headers.'),
		shareExpiryMs: z.int().min(10).max(60_000).default(1000).describe('Age at which the in-flight counts of a peer expire, in ms.'),
		cautiousShare: z.number().min(0).max(1).default(0.25).describe('Fraction of a service\'s slots that an instance outside the service\'s entry set may use.'),
		hedging: z.boolean().default(true).describe('Whether short idempotent requests are hedged.'),
	}).prefault({}),
	shutdown: z.strictObject({
		limitMs: z.int().min(0).max(3_600_000).default(30_000).describe('Maximum time from the signal to the exit of the process, in ms.'),
	}).prefault({}),
});
