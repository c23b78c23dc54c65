import {err} from 'neverthrow';
import {ErrorKind} from '../../common/error-kind.js';
import {RequestError} from '../../common/request-error.js';
import {findInvalidHeader} from '../../io/gateway/find-invalid-header.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayFilter} from './gateway-filter.js';
import type {GatewayNext} from './gateway-next.js';
import type {GatewayResult} from './gateway-result.js';

/** Characters that Node.js writes in a request target. */
const targetPattern = /^[\u0021-\u00FF]+$/v;

/** Refuses a request whose target or headers cannot be passed on unchanged. */
export class CheckHeadFilter implements GatewayFilter {
	get name(): string {
		return 'check-head';
	}

	async handleRequest(context: GatewayContext, next: GatewayNext): GatewayResult {
		const {url = '/', rawHeaders} = context.request;
		if (!targetPattern.test(url)) {
			return err(new RequestError(ErrorKind.MalformedRequest, 'the request target has a character that is not allowed'));
		}

		const fault = findInvalidHeader(rawHeaders);
		return fault === undefined ? next(context) : err(new RequestError(ErrorKind.MalformedRequest, fault));
	}
}
