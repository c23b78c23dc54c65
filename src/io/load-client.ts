import {Agent, request} from 'undici';
import {z} from 'zod';
import type {DisposableLike} from '../common/disposable-like.js';
import type {LoadReport} from '../common/load-report.js';
import type {ServiceSpec} from '../common/service-spec.js';
import type {TargetSpec} from '../common/target-spec.js';

const reportSchema = z.object({
	inFlight: z.number().min(0),
	queued: z.number().min(0).default(0),
	draining: z.boolean().default(false),
});

const timeoutMs = 1000;
const connectionsPerTarget = 1;
const maxReportBytes = 4096;

/** Polls targets for load reports, on connections separate from those of requests. */
export class LoadClient implements DisposableLike {
	private readonly _agent = new Agent({
		connections: connectionsPerTarget, pipelining: 1, headersTimeout: timeoutMs, bodyTimeout: timeoutMs, connectTimeout: timeoutMs, maxResponseSize: maxReportBytes,
	});

	/** Reads a target's load report; undefined when none arrives in time or it is invalid. */
	async queryLoad(service: ServiceSpec, target: TargetSpec): Promise<LoadReport | undefined> {
		try {
			const url = `${service.tls ? 'https' : 'http'}://${target.host}:${target.port}${service.loadPath}`;
			const response = await request(url, {dispatcher: this._agent, signal: AbortSignal.timeout(timeoutMs)});
			const body = await response.body.json();
			return response.statusCode === 200 ? reportSchema.parse(body) : undefined;
		} catch {
			return undefined;
		}
	}

	dispose(): void {
		void this._agent.destroy();
	}
}
