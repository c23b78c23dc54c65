/** Maximum number of times a path is decoded; a request that passes several servers may be decoded more than once. */
const maxDecodePasses = 4;
const ambiguousPattern = /[%\\;]|\/\/|\/\.{1,2}(?:\/|$)/v;

const decodeOnce = (path: string): string => path.replaceAll(/%[0-9a-f]{2}/giv, code => String.fromCodePoint(Number.parseInt(code.slice(1), 16)));

const resolveSegments = (path: string): string => {
	const kept: string[] = [];
	const segments = path.split(/[\/\\]+/v);
	for (const segment of segments) {
		const [name = ''] = segment.split(';', 1);
		if (name === '..') {
			kept.pop();
		} else if (name !== '.' && name !== '') {
			kept.push(name);
		}
	}

	const last = segments.at(-1)?.split(';', 1)[0];
	const hasTrailingSlash = kept.length > 0 && (last === '' || last === '.' || last === '..');
	return `/${kept.join('/')}${hasTrailingSlash ? '/' : ''}`;
};

/** Normalizes a path as the most lenient target would: decodes it and removes path parameters, empty segments and dot segments. */
export const normalizePath = (path: string): string => {
	if (!ambiguousPattern.test(path)) {
		return path;
	}

	let decoded = path;
	for (let pass = 0; pass < maxDecodePasses; pass++) {
		const next = decodeOnce(decoded);
		if (next === decoded) {
			break;
		}

		decoded = next;
	}

	return resolveSegments(decoded);
};
