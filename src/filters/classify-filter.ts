import {err} from 'neverthrow';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';
import type {ServiceCatalog} from '../common/service-catalog.js';
import {findRule} from '../policy/find-rule.js';
import type {FilterResult} from './filter-result.js';
import type {Filter} from './filter.js';
import type {NextFilter} from './next-filter.js';
import type {RequestContext} from './request-context.js';

/** Finds the service by the Host header and the rule by method and path. */
export class ClassifyFilter implements Filter {
	constructor(private readonly _catalog: ServiceCatalog) {}

	get name(): string {
		return 'classify';
	}

	async handleRequest(context: RequestContext, next: NextFilter): FilterResult {
		const {request} = context;
		const host = request.headers.host ?? '';
		const name = host.split(':', 1)[0] ?? '';
		const service = this._catalog.getService(name);
		if (service === undefined) {
			return err(new RequestError(ErrorKind.UnknownService, `no service is named "${name}"; the Host header names the service`));
		}

		const rule = findRule(service, request.method ?? 'GET', request.url ?? '/');
		if (rule === undefined) {
			return err(new RequestError(ErrorKind.MethodNotAllowed, `no rule of service ${name} matches ${request.method} ${request.url}`));
		}

		context.service = service;
		context.rule = rule;
		return next(context);
	}
}
