/** Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that this hop sets itself. */
const hopHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'proxy-authenticate', 'proxy-authorization', 'expect']);

/** Collects the options of all Connection headers; undefined when there is none. */
const collectConnectionOptions = (rawHeaders: readonly string[]): Set<string> | undefined => {
	let options: Set<string> | undefined;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		if (rawHeaders[index]?.toLowerCase() === 'connection') {
			options ??= new Set();
			for (const option of (rawHeaders[index + 1] ?? '').split(',')) {
				options.add(option.trim().toLowerCase());
			}
		}
	}

	return options;
};

/**
Copies headers without the hop-by-hop ones.
@param rawHeaders - Alternating names and values.
@param omitted - Names of other headers to leave out, in lower case.
*/
export const stripHopHeaders = (rawHeaders: readonly string[], omitted: readonly string[] = []): string[] => {
	const connectionOptions = collectConnectionOptions(rawHeaders);
	const kept: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index] ?? '';
		const lowerCaseName = name.toLowerCase();
		if (!hopHeaders.has(lowerCaseName) && !omitted.includes(lowerCaseName) && !(connectionOptions?.has(lowerCaseName) ?? false)) {
			kept.push(name, rawHeaders[index + 1] ?? '');
		}
	}

	return kept;
};
