/** One measurement: the size of what was varied, and the figure. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A straight line through measurements. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
  /** Greatest distance of a point from the line, as a share of its value. */
  readonly worst: number;
  /** Slope of the last two points over that of the first two. */
  readonly bend: number;
}

/** Fits a line by least squares; needs two different sizes at least. */
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
  // A value of zero has no share; the greatest value stands in for it.
  const greatest = Math.max(...points.map(({ value }) => Math.abs(value)));
  const worst = Math.max(
    ...points.map(({ size, value }) => {
      const distance = Math.abs(value - (intercept + slope * size));
      return distance === 0 ? 0 : distance / (Math.abs(value) || greatest);
    }),
  );
  const bend = between(points.slice(-2)) / between(points.slice(0, 2));
  return { intercept, slope, worst, bend };
}

/** The value of a line at a size. */
export function valueAt(line: Line, size: number): number {
  return line.intercept + line.slope * size;
}

function between(pair: readonly Point[]): number {
  const [a, b] = pair;
  if (!a || !b) return Number.NaN;
  return (b.value - a.value) / (b.size - a.size);
}
