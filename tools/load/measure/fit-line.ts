type Line = {
	readonly slope: number;
	readonly intercept: number;
	/** Root mean square of the vertical distances. */
	readonly residual: number;
};

/** Fits a line to [x, y] points by least squares; the slope is 0 when all x are equal. */
export const fitLine = (points: ReadonlyArray<readonly [number, number]>): Line => {
	const count = points.length;
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
	const covariance = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0);
	const variance = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	const slope = variance === 0 ? 0 : covariance / variance;
	const intercept = meanY - (slope * meanX);
	const squares = points.reduce((sum, [x, y]) => sum + ((y - (slope * x) - intercept) ** 2), 0);
	return {slope, intercept, residual: Math.sqrt(squares / count)};
};
