import {err, ok, type Result} from 'neverthrow';
import {ErrorKind} from '../common/error-kind.js';
import {RequestError} from '../common/request-error.js';

type RequestHead = {
	readonly method: string;
	/** Request target as received. */
	readonly target: string;
	/** Alternating names and values, as received. */
	readonly rawHeaders: readonly string[];
};

type FramingHeaders = {
	hosts: string[];
	lengths: string[];
	encodings: string[];
};

const hostPattern = /^(?:[a-z0-9](?:[a-z0-9.\-]*[a-z0-9])?|\[[0-9a-f:.]+\])(?::\d{1,5})?$/iv;
const targetPattern = /^\/[\u0021\u0022\u0024-\u007E]*$/v;
const absolutePattern = /^http:\/\/(?<authority>[^\/?#]+)(?<rest>.*)$/iv;
const decimalPattern = /^\d{1,15}$/v;
/** Methods that apply to the connection or to this hop and are not forwarded to targets. */
const unsupportedMethods = new Set(['CONNECT', 'TRACE']);

const refuse = (kind: ErrorKind, detail: string) => err(new RequestError(kind, detail));

const collectFraming = (rawHeaders: readonly string[]): FramingHeaders => {
	const found: FramingHeaders = {hosts: [], lengths: [], encodings: []};
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index] ?? '';
		const value = rawHeaders[index + 1] ?? '';
		// Comparing lengths first avoids converting most names to lower case.
		if (name.length === 4 && name.toLowerCase() === 'host') {
			found.hosts.push(value);
		} else if (name.length === 14 && name.toLowerCase() === 'content-length') {
			found.lengths.push(value);
		} else if (name.length === 17 && name.toLowerCase() === 'transfer-encoding') {
			found.encodings.push(value);
		}
	}

	return found;
};

const convertToOriginForm = (target: string, host: string): Result<string, RequestError> => {
	const absolute = target.startsWith('/') ? undefined : absolutePattern.exec(target);
	const authority = absolute?.groups?.authority;
	if (authority !== undefined && authority.toLowerCase() !== host.toLowerCase()) {
		return refuse(ErrorKind.MalformedRequest, 'the authority of the request target differs from the Host header');
	}

	const rest = absolute?.groups?.rest ?? target;
	const path = absolute !== undefined && !rest.startsWith('/') ? `/${rest}` : rest;
	return targetPattern.test(path)
		? ok(path)
		: refuse(ErrorKind.MalformedRequest, 'the request target must be an absolute path of visible ASCII characters without a fragment');
};

/**
Rejects request heads that a target might interpret differently (request smuggling): framing, Host and request target.
@param bodyLimitBytes - Largest Content-Length allowed, in bytes.
@returns The request target in origin form.
*/
export const checkRequestHead = (head: RequestHead, bodyLimitBytes: number): Result<string, RequestError> => {
	if (unsupportedMethods.has(head.method)) {
		return refuse(ErrorKind.MethodNotAllowed, `method ${head.method} is not passed on`);
	}

	const {hosts, lengths, encodings} = collectFraming(head.rawHeaders);
	const [host] = hosts;
	if (host === undefined || hosts.length > 1 || !hostPattern.test(host)) {
		return refuse(ErrorKind.MalformedRequest, 'exactly one valid Host header is required; it names the service');
	}

	if (encodings.length > 0 && (lengths.length > 0 || encodings.length > 1 || encodings[0]?.toLowerCase() !== 'chunked')) {
		return refuse(ErrorKind.MalformedRequest, 'Transfer-Encoding must be "chunked" alone, without Content-Length');
	}

	const [length] = lengths;
	if (length !== undefined && (lengths.length > 1 || !decimalPattern.test(length))) {
		return refuse(ErrorKind.MalformedRequest, 'Content-Length must be given once, as a decimal number');
	}

	if (Number(length ?? 0) > bodyLimitBytes) {
		return refuse(ErrorKind.BodyTooLarge, `the body has ${length} bytes, at most ${bodyLimitBytes} are allowed`);
	}

	return convertToOriginForm(head.target, host);
};
