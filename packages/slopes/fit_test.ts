import assert from "node:assert/strict";
import { test } from "node:test";
import { fitLine, valueAt } from "./fit.ts";

test("a straight line is found exactly", () => {
  const points = [10, 20, 40].map((size) => ({ size, value: 7 + 3 * size }));
  const line = fitLine(points);
  assert.ok(Math.abs(line.intercept - 7) < 1e-9);
  assert.ok(Math.abs(line.slope - 3) < 1e-9);
  assert.ok(line.worst < 1e-9);
  assert.ok(Math.abs(line.bend - 1) < 1e-9);
  assert.ok(Math.abs(valueAt(line, 100) - 307) < 1e-9);
});

test("growth faster than linear shows as a bend above one", () => {
  const points = [10, 20, 40].map((size) => ({ size, value: size * size }));
  const line = fitLine(points);
  assert.ok(line.bend > 1.9, `bend ${line.bend}`);
  assert.ok(line.worst > 0.1, `worst ${line.worst}`);
});

test("the worst deviation is a share of the measured value", () => {
  const points = [
    { size: 0, value: 100 },
    { size: 1, value: 110 },
    { size: 2, value: 100 },
  ];
  const { worst } = fitLine(points);
  assert.ok(Math.abs(worst - (110 - 310 / 3) / 110) < 1e-9, `worst ${worst}`);
});

test("a constant has no deviation", () => {
  const points = [1, 2, 3].map((size) => ({ size, value: 0 }));
  assert.equal(fitLine(points).worst, 0);
});

test("a value of zero gives a finite deviation", () => {
  const points = [
    { size: 1, value: 0 },
    { size: 2, value: 10 },
    { size: 3, value: 0 },
  ];
  assert.ok(Math.abs(fitLine(points).worst - 2 / 3) < 1e-9);
});
