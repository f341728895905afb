/** One measurement: the size that was varied and the measured value. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A straight line fitted to measurements. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
  /** Greatest distance of a point from the line, relative to its value. */
  readonly maxRelativeError: number;
  /**
   * Slope between the last two points, divided by the slope between the first
   * two: 1 for linear growth, more for growth that is faster than linear.
   */
  readonly slopeRatio: number;
}

/** Fits a line by least squares; needs at least two different sizes. */
export function fitLine(points: readonly Point[]): Line {
  const n = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / n;
  const meanValue = points.reduce((sum, { value }) => sum + value, 0) / n;
  let covariance = 0;
  let variance = 0;
  for (const { size, value } of points) {
    covariance += (size - meanSize) * (value - meanValue);
    variance += (size - meanSize) ** 2;
  }
  const slope = covariance / variance;
  const intercept = meanValue - slope * meanSize;
  // No error is relative to a value of zero; the greatest value is used
  // instead.
  const greatest = Math.max(...points.map(({ value }) => Math.abs(value)));
  const maxRelativeError = Math.max(
    ...points.map(({ size, value }) => {
      const distance = Math.abs(value - (intercept + slope * size));
      return distance === 0 ? 0 : distance / (Math.abs(value) || greatest);
    }),
  );
  const slopeRatio =
    slopeBetween(points.slice(-2)) / slopeBetween(points.slice(0, 2));
  return { intercept, slope, maxRelativeError, slopeRatio };
}

export function valueAt(line: Line, size: number): number {
  return line.intercept + line.slope * size;
}

function slopeBetween(pair: readonly Point[]): number {
  const [a, b] = pair;
  if (!a || !b) return Number.NaN;
  return (b.value - a.value) / (b.size - a.size);
}
