import type { Entry, View } from "#model";

/** Wall-clock time at the start of a test, when its keys are created. */
export const TEST_START = 1_780_000_000_000;

/** Creates a UUIDv7 with the given timestamp. */
export function keyAt(wallTime: number, last = 1): string {
  const hex = wallTime.toString(16).padStart(12, "0");
  const tail = last.toString(16).padStart(12, "0");
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-${tail}`;
}

export const KEY = keyAt(TEST_START);

/** The instant `now` milliseconds after the start of the test. */
export function at(now = 0) {
  return { now, wallTime: TEST_START + now };
}

const ADDRESS = { host: "127.0.0.1", port: 1 };

/** Creates an entry of a view. */
export function entryOf(
  id: string,
  options: { dataCentre?: string; incarnation?: number } = {},
): Entry {
  const { dataCentre = id, incarnation = 1 } = options;
  const addresses = { http: ADDRESS, peer: ADDRESS };
  return { id, incarnation, dataCentre, ...addresses, state: "ready" };
}

/** Creates a view of entries, each in a data centre of its own. */
export function viewOf(
  ids: readonly string[],
  options: Partial<View> = {},
): View {
  const entries = ids.map((id) => entryOf(id));
  return { epoch: 1, entries, began: 0, ...options };
}
