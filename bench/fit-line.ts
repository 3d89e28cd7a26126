/** A straight line through measured points, and how far they lie from it. */
type Line = {
	readonly slope: number;
	readonly intercept: number;
	/** Root of the mean squared distance, relative to the mean value. */
	readonly residual: number;
};

type Point = {
	readonly x: number;
	readonly y: number;
};

const getMean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Least squares. */
export const fitLine = (points: readonly Point[]): Line => {
	const meanX = getMean(points.map(point => point.x));
	const meanY = getMean(points.map(point => point.y));
	const covariance = getMean(points.map(point => (point.x - meanX) * (point.y - meanY)));
	const variance = getMean(points.map(point => (point.x - meanX) ** 2));
	const slope = covariance / variance;
	const intercept = meanY - (slope * meanX);
	const squares = getMean(points.map(point => (point.y - intercept - (slope * point.x)) ** 2));
	return {slope, intercept, residual: Math.sqrt(squares) / Math.max(Math.abs(meanY), Number.EPSILON)};
};
