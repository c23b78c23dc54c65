type RequestTarget = {
	readonly path: string;
	readonly query: URLSearchParams;
};

/** Splits the target of a request to this process into its path, which is not decoded, and its query. Any text is accepted; `URL` throws for some that callers can send. */
export const parseRequestTarget = (target: string): RequestTarget => {
	const queryIndex = target.indexOf('?');
	return queryIndex === -1
		? {path: target, query: new URLSearchParams()}
		: {path: target.slice(0, queryIndex), query: new URLSearchParams(target.slice(queryIndex + 1))};
};
