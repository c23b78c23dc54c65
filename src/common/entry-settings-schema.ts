import {z} from 'zod';
import {DecisionPolicy} from './decision-policy.js';

const port = z.int().min(0).max(65_535);
const outerPort = port.optional().describe('Port under which others reach the listener; its own when absent.');
const listener = (defaultPort: number) => z.strictObject({
	host: z.string().min(1).default('127.0.0.1').describe('IP number to listen on.'),
	port: port.default(defaultPort).describe('TCP port; 0 lets the system choose one.'),
}).prefault({});

/** Schema of the settings of `rattansill-entry`; docs/SETTINGS.md explains each key. */
export const entrySettingsSchema = z.strictObject({
	instance: z.strictObject({
		id: z.string().min(1).max(128).describe('Name, unique within the fleet.'),
		host: z.string().min(1).default('127.0.0.1').describe('IP number under which callers and peers reach this instance.'),
		failureDomain: z.string().min(1).max(128).describe('Failure domain in which this instance runs.'),
		region: z.string().min(1).max(128).default('default').describe('Region in which this instance runs.'),
		ports: z.strictObject({
			data: outerPort, route: outerPort, peer: outerPort, operator: outerPort,
		}).prefault({}).describe('Ports under which others reach the listeners, where a port mapping makes them differ.'),
	}),
	listeners: z.strictObject({
		data: listener(7100),
		route: listener(7101),
		peer: listener(7102),
		operator: listener(7103),
	}).prefault({}),
	platform: z.strictObject({
		urls: z.array(z.url({protocol: /^https?$/v})).min(1).describe('Base URLs of the configuration service, in order of preference.'),
		prefix: z.string().min(1).default('rattansill').describe('Key prefix below which the operators publish.'),
		waitMs: z.int().min(100).max(600_000).default(30_000).describe('Longest time for which one watch waits, in ms.'),
		callsPerSecond: z.int().min(1).max(1_000_000).default(2000).describe('Calls a second that all entry instances together may make, a waiting watch counted as one.'),
		readersPerKey: z.int().min(1).max(16).default(2).describe('Instances that watch each key and pass it on.'),
	}),
	peers: z.strictObject({
		seeds: z.array(z.strictObject({
			host: z.string().min(1).describe('IP number of a peer.'),
			port: port.describe('Its peer port.'),
		})).max(64).default([]).describe('Peer ports to ask when the instance list cannot be read.'),
	}).prefault({}),
	limits: z.strictObject({
		headerBytes: z.int().min(1024).max(1_048_576).default(16_384).describe('Request headers, in bytes.'),
		bodyBytes: z.int().min(0).max(1_073_741_824).default(16_777_216).describe('Request body, in bytes.'),
		heldBodyBytes: z.int().min(0).max(16_777_216).default(65_536).describe('Bytes of a request body that are held so that it can be sent again.'),
		headersTimeoutMs: z.int().min(100).max(600_000).default(10_000).describe('Time for the headers of a request to arrive, in ms.'),
		requestTimeoutMs: z.int().min(100).max(3_600_000).default(60_000).describe('Time for a whole request to arrive, in ms.'),
		callerConnections: z.int().min(1).max(1_000_000).default(10_000).describe('Connections that callers may hold.'),
		connectTimeoutMs: z.int().min(1).max(60_000).default(1000).describe('Time to open a connection to a target, in ms.'),
	}).refine(limits => limits.headersTimeoutMs <= limits.requestTimeoutMs, {
		path: ['headersTimeoutMs'], error: 'must be at most requestTimeoutMs',
	}).prefault({}),
	log: z.strictObject({
		namespaces: z.string().default('rattansill:*:error,rattansill:*:info').describe('Namespaces to print, in the syntax of the `debug` library.'),
	}).prefault({}),
	metrics: z.strictObject({
		enabled: z.boolean().default(false).describe('Whether metrics are sent.'),
		host: z.string().min(1).default('127.0.0.1').describe('IP number of the StatsD receiver.'),
		port: port.default(8125).describe('UDP port of the StatsD receiver.'),
		prefix: z.string().default('rattansill.').describe('Prefix of every metric.'),
	}).prefault({}),
	tracing: z.strictObject({
		enabled: z.boolean().default(false).describe('Whether requests are traced; off, trace context passes unchanged.'),
		url: z.url().default('http://127.0.0.1:4318/v1/traces').describe('OTLP/HTTP endpoint for traces.'),
		sampleRatio: z.number().min(0).max(1).default(0.01).describe('Share of requests without a sampling decision of the caller that are traced.'),
	}).prefault({}),
	routes: z.strictObject({
		lifetimeMs: z.int().min(100).max(600_000).default(2000).describe('Time for which callers may use a route answer, in ms.'),
		entriesPerService: z.int().min(1).max(65_536).optional().describe('Entries of every service; computed from the service\'s size when absent.'),
		maxEntriesPerService: z.int().min(1).max(65_536).default(16).describe('Most entries of a service; 1 sends all its callers to one entry.'),
		slotsPerEntry: z.int().min(1).max(1_000_000).default(64).describe('Target slots that one entry carries.'),
	}).prefault({}),
	decisions: z.strictObject({
		policy: z.enum(DecisionPolicy).default(DecisionPolicy.Rattansill).describe('How targets are chosen; all but `rattansill` are baselines for measurements.'),
		shareIntervalMs: z.int().min(1).max(10_000).default(10).describe('Time for which changes of the in-flight counts are gathered before they are sent to the other entries of a service, in ms.'),
		shareBytesPerSecond: z.int().min(100).max(100_000_000).default(9000).describe('Bytes that the exchange of counts may send, a second, headers included.'),
		shareExpiryMs: z.int().min(10).max(60_000).default(1000).describe('Age at which a peer\'s counts are no longer believed, in ms.'),
		cautiousShare: z.number().min(0).max(1).default(0.25).describe('Share of a service\'s slots that an instance outside the service\'s entry set may use.'),
		hedging: z.boolean().default(true).describe('Whether short idempotent requests are hedged.'),
	}).prefault({}),
	shutdown: z.strictObject({
		limitMs: z.int().min(0).max(3_600_000).default(30_000).describe('Longest time from the signal to the exit, in ms.'),
	}).prefault({}),
});
