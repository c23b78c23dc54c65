import {z} from 'zod';
import {DecisionPolicy} from './decision-policy.js';

const port = z.int().min(0).max(65_535);
const listener = (defaultPort: number) => z.strictObject({
	/** IP number to listen on. */
	host: z.string().min(1).default('127.0.0.1'),
	/** TCP port; 0 lets the system choose one. */
	port: port.default(defaultPort),
}).prefault({});

/** Schema of the settings of `rattansill-entry`; docs/SETTINGS.md explains each key. */
export const entrySettingsSchema = z.strictObject({
	instance: z.strictObject({
		/** Name, unique within the fleet. */
		id: z.string().min(1).max(128),
		/** IP number under which callers and peers reach this instance. */
		host: z.string().min(1).default('127.0.0.1'),
		failureDomain: z.string().min(1).max(128),
		region: z.string().min(1).max(128).default('default'),
		/** Ports under which others reach the listeners, where a port mapping makes them differ. */
		ports: z.strictObject({
			data: port.optional(), route: port.optional(), peer: port.optional(), operator: port.optional(),
		}).prefault({}),
	}),
	listeners: z.strictObject({
		data: listener(7100),
		route: listener(7101),
		peer: listener(7102),
		operator: listener(7103),
	}).prefault({}),
	platform: z.strictObject({
		/** Base URLs of the configuration service, in order of preference. */
		urls: z.array(z.url({protocol: /^https?$/v})).min(1),
		/** Key prefix below which the operators publish. */
		prefix: z.string().min(1).default('rattansill'),
		/** Longest time for which one watch waits, in ms. */
		waitMs: z.int().min(100).max(600_000).default(30_000),
		/** Calls a second that all entry instances together may make, a waiting watch counted as one. */
		callsPerSecond: z.int().min(1).max(1_000_000).default(2000),
		/** Instances that watch each key and pass it on. */
		readersPerKey: z.int().min(1).max(16).default(2),
	}),
	peers: z.strictObject({
		/** Peer ports to ask when the instance list cannot be read. */
		seeds: z.array(z.strictObject({host: z.string().min(1), port})).max(64).default([]),
	}).prefault({}),
	limits: z.strictObject({
		/** Request headers, in bytes. */
		headerBytes: z.int().min(1024).max(1_048_576).default(16_384),
		/** Request body, in bytes. */
		bodyBytes: z.int().min(0).max(1_073_741_824).default(16_777_216),
		/** Bytes of a request body that are held so that it can be sent again. */
		heldBodyBytes: z.int().min(0).max(16_777_216).default(65_536),
		/** Time for the headers of a request to arrive, in ms. */
		headersTimeoutMs: z.int().min(100).max(600_000).default(10_000),
		/** Time for a whole request to arrive, in ms. */
		requestTimeoutMs: z.int().min(100).max(3_600_000).default(60_000),
		/** Connections that callers may hold. */
		callerConnections: z.int().min(1).max(1_000_000).default(10_000),
		/** Time to open a connection to a target, in ms. */
		connectTimeoutMs: z.int().min(1).max(60_000).default(1000),
	}).refine(limits => limits.headersTimeoutMs <= limits.requestTimeoutMs, {
		path: ['headersTimeoutMs'], error: 'must be at most requestTimeoutMs',
	}).prefault({}),
	log: z.strictObject({
		/** Namespaces to print, in the syntax of the `debug` library. */
		namespaces: z.string().default('rattansill:*:error,rattansill:*:info'),
	}).prefault({}),
	metrics: z.strictObject({
		enabled: z.boolean().default(false),
		host: z.string().min(1).default('127.0.0.1'),
		port: port.default(8125),
		/** Prefix of every metric. */
		prefix: z.string().default('rattansill.'),
	}).prefault({}),
	tracing: z.strictObject({
		enabled: z.boolean().default(false),
		/** OTLP/HTTP endpoint for traces. */
		url: z.url().default('http://127.0.0.1:4318/v1/traces'),
		/** Share of requests without a sampling decision of the caller that are traced. */
		sampleRatio: z.number().min(0).max(1).default(0.01),
	}).prefault({}),
	routes: z.strictObject({
		/** Time for which callers may use a route answer, in ms. */
		lifetimeMs: z.int().min(100).max(600_000).default(2000),
		/** Entries of every service; computed from the service's size when absent. */
		entriesPerService: z.int().min(1).max(65_536).optional(),
		/** Most entries of a service; 1 sends all its callers to one entry. */
		maxEntriesPerService: z.int().min(1).max(65_536).default(16),
		/** Target slots that one entry carries. */
		slotsPerEntry: z.int().min(1).max(1_000_000).default(64),
	}).prefault({}),
	decisions: z.strictObject({
		/** How targets are chosen; all but `rattansill` are baselines for measurements. */
		policy: z.enum(DecisionPolicy).default(DecisionPolicy.Rattansill),
		/** Time for which changes of the in-flight counts are gathered before they are sent to the other entries of a service, in ms. */
		shareIntervalMs: z.int().min(1).max(10_000).default(10),
		/** Bytes that the exchange of counts may send, a second, headers included. */
		shareBytesPerSecond: z.int().min(100).max(100_000_000).default(9000),
		/** Age at which a peer's counts are no longer believed, in ms. */
		shareExpiryMs: z.int().min(10).max(60_000).default(1000),
		/** Share of a service's slots that an instance outside the service's entry set may use. */
		cautiousShare: z.number().min(0).max(1).default(0.25),
		/** Whether short idempotent requests are hedged. */
		hedging: z.boolean().default(true),
	}).prefault({}),
	shutdown: z.strictObject({
		/** Longest time from the signal to the exit, in ms. */
		limitMs: z.int().min(0).max(3_600_000).default(30_000),
	}).prefault({}),
});
