const bodilessStatuses = new Set([204, 304]);

/**
Whether the end of an answer can be told from a cut: it has no body, or states its length or chunks.
@param method - Method of the request.
@param status - Status of the answer.
@param rawHeaders - Headers of the answer, names and values in turn.
*/
export const hasStatedEnd = (method: string, status: number, rawHeaders: readonly string[]): boolean => {
	if (method === 'HEAD' || bodilessStatuses.has(status)) {
		return true;
	}

	return rawHeaders.some((name, index) => index % 2 === 0 && (name.toLowerCase() === 'content-length'
		|| (name.toLowerCase() === 'transfer-encoding' && (rawHeaders[index + 1] ?? '').toLowerCase().endsWith('chunked'))));
};
