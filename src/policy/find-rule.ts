import type {RequestRule} from '../common/request-rule.js';
import type {ServiceSpec} from '../common/service-spec.js';

/** Finds the first rule of a service that matches a request. */
export const findRule = (service: ServiceSpec, method: string, path: string): RequestRule | undefined => service.rules.find(rule =>
	(rule.methods.length === 0 || rule.methods.includes(method)) && path.startsWith(rule.pathPrefix));
