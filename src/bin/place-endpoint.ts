import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {errorResponses} from '../common/error-responses.js';
import type {PlacementExplainer} from '../controllers/gateway/placement-explainer.js';
import {parsePlacementQuestion} from '../policy/gateway/parse-placement-question.js';

/** Answers where this instance would send a request, on the listener of its metrics. */
export class PlaceEndpoint {
	constructor(private readonly _explainer: Pick<PlacementExplainer, 'explain'>) {}

	/** @param query - Query of the request's target. */
	handle({method}: Pick<IncomingMessage, 'method'>, query: URLSearchParams, response: ServerResponse): void {
		if (method !== 'GET' && method !== 'HEAD') {
			this._respond(response, 405, {detail: `method ${method} is not supported`}, {allow: 'GET, HEAD'});
			return;
		}

		const question = parsePlacementQuestion(query);
		if (question.isErr()) {
			this._respond(response, 400, {detail: question.error});
			return;
		}

		this._explainer.explain(question.value).match(
			explanation => {
				this._respond(response, 200, explanation);
			},
			({kind, detail}) => {
				this._respond(response, errorResponses[kind].status, {kind, detail});
			},
		);
	}

	private _respond(response: ServerResponse, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
		const body = `${JSON.stringify(value)}\n`;
		response.writeHead(status, {
			'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'cache-control': 'no-store', ...headers,
		});
		response.end(body);
	}
}
