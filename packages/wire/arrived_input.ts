import { setImmediate as nextRound } from "node:timers/promises";

/**
 * Rounds of the event loop in a row that bring nothing more. The first one may begin
 * after the kernel was asked, and what was accepted in one is read in the next one.
 */
const QUIET_ROUNDS = 2;

/**
 * Resolves when the event loop has taken over what the kernel holds for it, by a
 * count that grows with it, or when it may not go on. Node runs timers before it
 * reads, so that input may have waited for long when a timer decides to close.
 */
export async function arrivedInput(
  count: () => number,
  mayGoOn: () => boolean,
): Promise<void> {
  let quietRounds = 0;
  while (quietRounds < QUIET_ROUNDS && mayGoOn()) {
    const before = count();
    await nextRound();
    quietRounds = count() === before ? quietRounds + 1 : 0;
  }
}
