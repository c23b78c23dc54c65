import type {HeaderVocabulary} from '../../common/gateway/header-vocabulary.js';
import type {TargetClient} from '../../io/gateway/target-client.js';
import {findHeader} from '../../policy/gateway/find-header.js';
import {parseTargetReport} from '../../policy/gateway/parse-target-report.js';
import type {ProbeResult} from './probe-result.js';

/** Time after which a probe fails and its connection is closed, in ms. Responses take 4 ms within a site. */
const probeTimeoutMs = 150;

/** Probes the health and load of targets. */
export class TargetProber {
	constructor(private readonly _headers: HeaderVocabulary) {}

	/** Sends a health check and resolves with its result; undefined when there is no valid response in time. */
	async probe(client: Pick<TargetClient, 'sendProbe'>, healthPath: string, targetId: string): Promise<ProbeResult | undefined> {
		const response = await client.sendProbe({
			path: healthPath,
			host: targetId,
			timeoutMs: probeTimeoutMs,
			// A health check carries no request id, so a response with one belongs to another request on the connection.
			isProbeResponse: rawHeaders => findHeader(rawHeaders, this._headers.requestId) === undefined,
		});
		if (response === undefined) {
			return undefined;
		}

		const {status, rawHeaders} = response;
		const respondingId = findHeader(rawHeaders, this._headers.targetId);
		return {isHealthy: status === 200 && respondingId !== undefined, targetId: respondingId, report: parseTargetReport(response, this._headers)};
	}
}
