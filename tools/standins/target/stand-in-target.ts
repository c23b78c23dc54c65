import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import type {DisposableLike} from '../../../src/common/disposable-like.js';
import {HeaderName} from '../../../src/common/header-names.js';
import {computeHash} from '../../../src/policy/compute-hash.js';
import {HttpListener} from '../../../src/io/http-listener.js';
import {computeSlowFactor} from './compute-slow-factor.js';
import {defaultTargetBehavior} from './default-target-behavior.js';
import {formatLoadReport} from './format-load-report.js';
import {LoadReporter} from './load-reporter.js';
import {RunLedger} from './run-ledger.js';
import type {RunRecord} from './run-record.js';
import {ServiceTimeSampler} from './service-time-sampler.js';
import {SlotQueue} from './slot-queue.js';
import type {StandInTargetOptions} from './stand-in-target-options.js';
import type {TargetBehavior} from './target-behavior.js';
import {StandInExchange} from './stand-in-exchange.js';
import type {TargetStats} from './target-stats.js';

/** Service time where neither request nor options give one. */
const defaultServiceMs = 5;
/** Headers of a probe and its response, for the count of probe bytes. */
const estimatedHeaderBytes = 200;

/** A stand-in for a target: slots with a bounded queue, load reports that can be falsified, and a ledger of the requests. */
export class StandInTarget implements DisposableLike {
	readonly listener = new HttpListener({keepAliveTimeout: 60_000, noDelay: true}, (request, response) => {
		this._handleRequest(request, response);
	});

	private readonly _ledger = new RunLedger();
	private readonly _slots: SlotQueue;
	private readonly _reporter: LoadReporter;
	private readonly _sampler: ServiceTimeSampler | undefined;
	private readonly _probeTimes: number[] = [];
	private readonly _startedAt = Date.now();
	private readonly _idHash: number;
	private _behavior: TargetBehavior;
	private _runs = 0;
	private _busyMs = 0;
	private _probeBytes = 0;
	private _probeMs = 0;
	private _connections = 0;
	private _peakConnections = 0;

	constructor(private readonly _options: StandInTargetOptions) {
		this._behavior = {...defaultTargetBehavior, ..._options.behavior};
		this._idHash = computeHash(_options.id);
		this._slots = new SlotQueue(_options.slots);
		this._reporter = new LoadReporter(_options.slots);
		this._sampler = _options.serviceTimes === undefined ? undefined : new ServiceTimeSampler(_options.serviceTimes);
		this.listener.server.on('connection', (socket: Socket) => {
			this._connections++;
			this._peakConnections = Math.max(this._peakConnections, this._connections);
			socket.once('close', () => {
				this._connections--;
			});
		});
	}

	/** Id of the target. */
	get id(): string {
		return this._options.id;
	}

	/** Number of requests that hold a slot. */
	get inFlight(): number {
		return this._slots.inFlight;
	}

	/** Number of requests that wait for a slot. */
	get queued(): number {
		return this._slots.queued;
	}

	/** Records of the requests, in the order of arrival. */
	get records(): readonly RunRecord[] {
		return this._ledger.records;
	}

	/** Statistics since the start. */
	get stats(): TargetStats {
		return {
			target: this.id,
			runs: this._runs,
			busyMs: this._busyMs,
			probeTimes: [...this._probeTimes],
			probeBytes: this._probeBytes,
			probeMs: this._probeMs,
			connections: this._connections,
			peakConnections: this._peakConnections,
		};
	}

	/** Changes parts of the behavior. */
	setBehavior(change: Partial<TargetBehavior>): void {
		if (change.reportMode !== undefined && change.reportMode !== this._behavior.reportMode) {
			this._reporter.captureFrozenReport();
		}

		this._behavior = {...this._behavior, ...change};
	}

	/** Removes all records. */
	clearLedger(): void {
		this._ledger.clear();
	}

	dispose(): void {
		this.listener.dispose();
	}

	private _handleRequest(request: IncomingMessage, response: ServerResponse): void {
		if (request.url === '/load' || request.url === '/health') {
			this._handleProbe(request, response);
			return;
		}

		const exchange = new StandInExchange({
			target: this.id,
			request,
			response,
			ledger: this._ledger,
			slots: this._slots,
			getBehavior: () => this._behavior,
			drawServiceMs: () => this._drawServiceMs(request),
			createStateHeaders: () => this._createStateHeaders(),
			notifyLoad: busyMs => {
				this._runs += busyMs > 0 ? 1 : 0;
				this._busyMs += busyMs;
				this._reporter.recordLoad(this._getLoad(), Date.now());
			},
		});
		exchange.serve();
	}

	private _handleProbe(request: IncomingMessage, response: ServerResponse): void {
		const startedAt = performance.now();
		const isHealth = request.url === '/health';
		const behavior = this._behavior;
		const body = `${JSON.stringify(isHealth ? {healthy: behavior.isHealthy} : this._computeReport())}\n`;
		response.writeHead(isHealth && !behavior.isHealthy ? 503 : 200, {'content-type': 'application/json', 'content-length': body.length});
		// The network delay of both directions is added before the response.
		setTimeout(() => {
			response.end(body);
		}, 2 * behavior.oneWayDelayMs);
		request.resume();
		this._probeTimes.push(Date.now());
		this._probeBytes += body.length + estimatedHeaderBytes;
		this._probeMs += performance.now() - startedAt;
	}

	private _drawServiceMs(request: IncomingMessage): number {
		const requestedMs = Number(request.headers['x-service-ms'] ?? Number.NaN);
		const baseMs = Number.isNaN(requestedMs) ? this._options.serviceTimeMs?.(request) ?? this._sampler?.getNext().serviceMs ?? defaultServiceMs : requestedMs;
		const now = Date.now();
		const {slowFactor, slowSchedule, coldStartMs, coldFactor} = this._behavior;
		const isCold = now - this._startedAt < coldStartMs;
		return baseMs * slowFactor * computeSlowFactor(slowSchedule, this._idHash, now) * (isCold ? coldFactor : 1);
	}

	private _createStateHeaders(): Record<string, string> {
		const headers: Record<string, string> = {};
		if (this._behavior.isReportingOnAnswers) {
			headers[HeaderName.LoadReport] = formatLoadReport(this._computeReport(), this._options.slots);
		}

		if (this._behavior.isDraining) {
			headers['x-draining'] = 'true';
		}

		return headers;
	}

	private _computeReport() {
		return this._reporter.computeReport(this._behavior.reportMode, this._behavior.reportDelayMs, Date.now());
	}

	private _getLoad() {
		return {inFlight: this._slots.inFlight, queued: this._slots.queued, draining: this._behavior.isDraining};
	}
}
