/**
 * Control hosts to which an entry of a large site keeps a link: the one that it
 * follows and another to switch to.
 */
export const LINKED_CONTROL_HOSTS = 2;
/**
 * Age of the last confirmation from which all control hosts are linked. An
 * entry tries its two hosts before that age.
 */
const OVERDUE_MS = 2_000;
/** Time with confirmations after which two links are enough again. */
const SETTLED_AFTER_MS = 30_000;

/**
 * Decides whether an entry needs links to all control hosts: until it has been
 * confirmed for a while, since the hosts that it is linked to may be lost.
 */
export class ControlLinks {
  #needsAll = true;
  #confirmedSince: number | undefined;

  get needsAll(): boolean {
    return this.#needsAll;
  }

  /**
   * Notes the age of the last confirmation by control; true if the decision has
   * changed. To be called about once a second.
   */
  update(confirmationAgeMs: number, now: number): boolean {
    const before = this.#needsAll;
    if (confirmationAgeMs > OVERDUE_MS) {
      this.#confirmedSince = undefined;
      this.#needsAll = true;
    } else {
      this.#confirmedSince ??= now;
      if (now - this.#confirmedSince >= SETTLED_AFTER_MS) {
        this.#needsAll = false;
      }
    }
    return this.#needsAll !== before;
  }
}
