/**
 * Age from which an order without a version is not carried out. Its sender turns to
 * another host after a second without an answer, and may give the opposite order once
 * that one is acknowledged. The rest is for the time on the way, and for a stall that
 * is too short to be noticed.
 */
export const ORDER_LIFETIME_MS = 600;

/** Why an order is not carried out. */
export const LATE_ORDER = "late_order";

/** Whether an order may have been given up by its sender. */
export function isLate(sentAfter: number, now: number): boolean {
  return now - sentAfter >= ORDER_LIFETIME_MS;
}
