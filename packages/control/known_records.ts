import type { BackendServer } from "#model";
import type { ControlProcess } from "./control_process.ts";
import { withTimeout } from "./majority_timeout.ts";

/** Longest wait for an entry's list of servers, in milliseconds. */
const LOOKUP_TIMEOUT_MS = 200;

/** The records of an id that an entry knows, of all control hosts. */
export async function recordsAtEntry(
  control: Pick<ControlProcess, "servers">,
  id: string,
): Promise<readonly BackendServer[]> {
  const all = await withTimeout(control.servers(), LOOKUP_TIMEOUT_MS);
  return (all ?? []).filter((server) => server.id === id);
}
