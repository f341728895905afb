/** A test's line in the output of Node's spec reporter. */
const TEST_LINE = /^ *([✔✖]) (.+?) \(\d[\d.]*ms\)/;
/** Precedes a failed test where the reporter lists it once more, after the run. */
const SUMMARY_LINE = /^ *test at /;

/**
 * Counts the tests of one run by name; returns whether one of them failed. A test that
 * is declared twice in a run counts twice.
 */
export function addRun(results, output, evidence) {
  const lines = output.split("\n");
  let hasFailed = false;
  for (const [index, line] of lines.entries()) {
    const match = TEST_LINE.exec(line);
    if (!match || SUMMARY_LINE.test(lines[index - 1] ?? "")) continue;
    const [, mark, name] = match;
    const result = results.get(name) ?? { runs: 0, failures: 0 };
    result.runs++;
    if (mark === "✖") {
      hasFailed = true;
      result.failures++;
      result.firstError ??= lines[index + 1]?.trim() ?? "";
      result.evidence ??= evidence;
    }
    results.set(name, result);
  }
  return hasFailed;
}

/** A table of the tests, those that failed most often first. */
export function table(results) {
  const rows = [...results].sort(([, a], [, b]) => b.failures - a.failures);
  const head = "| test | runs | failures | first error | evidence |";
  const body = rows.map(
    ([name, { runs, failures, firstError = "", evidence = "" }]) =>
      `| ${name} | ${runs} | ${failures} | ${firstError.slice(0, 160)} | ${evidence} |`,
  );
  return [head, "|---|---|---|---|---|", ...body].join("\n");
}
