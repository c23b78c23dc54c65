import type {IncomingHttpHeaders} from 'node:http';
import {err} from 'neverthrow';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import type {ServiceCatalog} from '../common/service-catalog.js';
import {findRule} from '../policy/find-rule.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

/** Headers with which common server frameworks let a request override its method. */
const methodOverrideHeaders = ['x-http-method-override', 'x-method-override', 'x-http-method'];

const findOverridingMethod = (headers: IncomingHttpHeaders): string | undefined => {
	for (const name of methodOverrideHeaders) {
		const value = headers[name];
		if (value !== undefined) {
			return String(value).trim();
		}
	}

	return undefined;
};

/** Determines the service from the Host header, and the rule from method and path. */
export class ClassifyFilter implements Filter {
	constructor(private readonly _catalog: ServiceCatalog) {}

	get name(): string {
		return 'classify';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		const {request} = context;
		const [serviceName = ''] = (request.headers.host ?? '').toLowerCase().split(':', 1);
		const service = this._catalog.getService(serviceName);
		if (service === undefined) {
			return err(new RequestError(ErrorKind.UnknownService, `no service is named "${serviceName}"; the Host header names the service`));
		}

		const rule = findRule(service, {method: request.method ?? 'GET', target: request.url ?? '/', overridingMethod: findOverridingMethod(request.headers)});
		if (rule === undefined) {
			context.response.setHeader('allow', [...new Set(service.rules.flatMap(({methods}) => methods))].join(', '));
			return err(new RequestError(ErrorKind.MethodNotAllowed, `no rule of service ${serviceName} matches ${request.method} ${request.url}`));
		}

		context.service = service;
		context.rule = rule;
		return next(context);
	}
}
