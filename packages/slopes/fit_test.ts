import assert from "node:assert/strict";
import { test } from "node:test";
import { fitLine, valueAt } from "./fit.ts";

test("points on a straight line give that line", () => {
  const points = [10, 20, 40].map((size) => ({ size, value: 7 + 3 * size }));
  const line = fitLine(points);
  assert.ok(Math.abs(line.intercept - 7) < 1e-9);
  assert.ok(Math.abs(line.slope - 3) < 1e-9);
  assert.ok(line.maxRelativeError < 1e-9);
  assert.ok(Math.abs(line.slopeRatio - 1) < 1e-9);
  assert.ok(Math.abs(valueAt(line, 100) - 307) < 1e-9);
});

test("growth faster than linear gives a slope ratio above one", () => {
  const points = [10, 20, 40].map((size) => ({ size, value: size * size }));
  const line = fitLine(points);
  assert.ok(line.slopeRatio > 1.9, `slope ratio ${line.slopeRatio}`);
  assert.ok(
    line.maxRelativeError > 0.1,
    `max relative error ${line.maxRelativeError}`,
  );
});

test("the greatest error is relative to the measured value", () => {
  const points = [
    { size: 0, value: 100 },
    { size: 1, value: 110 },
    { size: 2, value: 100 },
  ];
  const { maxRelativeError } = fitLine(points);
  assert.ok(
    Math.abs(maxRelativeError - (110 - 310 / 3) / 110) < 1e-9,
    `max relative error ${maxRelativeError}`,
  );
});

test("a constant zero gives no error", () => {
  const points = [1, 2, 3].map((size) => ({ size, value: 0 }));
  assert.equal(fitLine(points).maxRelativeError, 0);
});

test("a value of zero gives a finite relative error", () => {
  const points = [
    { size: 1, value: 0 },
    { size: 2, value: 10 },
    { size: 3, value: 0 },
  ];
  assert.ok(Math.abs(fitLine(points).maxRelativeError - 2 / 3) < 1e-9);
});
