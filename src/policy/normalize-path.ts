/** Times that a path is decoded; targets behind further servers may decode more than once. */
const maxDecodings = 4;
const unusualPattern = /[%\\;]|\/\/|\/\.{1,2}(?:\/|$)/v;

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
	const isFolder = kept.length > 0 && (last === '' || last === '.' || last === '..');
	return `/${kept.join('/')}${isFolder ? '/' : ''}`;
};

/** Reads a path as the most lenient target might: decoded, without path parameters, empty and dot segments. */
export const normalizePath = (path: string): string => {
	if (!unusualPattern.test(path)) {
		return path;
	}

	let decoded = path;
	for (let round = 0; round < maxDecodings; round++) {
		const next = decodeOnce(decoded);
		if (next === decoded) {
			break;
		}

		decoded = next;
	}

	return resolveSegments(decoded);
};
