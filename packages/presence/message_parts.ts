/** Most records in one message; decoding more of them delays calls. */
const MAX_RECORDS_PER_MESSAGE = 1_000;

/**
 * Most bytes of the operations in one message. A frame of more than 1 MiB closes
 * the connection; the rest is left for the other fields.
 */
const MAX_OPERATION_BYTES = 768 * 1024;

/** Most bytes of a character of a text (UTF-16 code unit) in UTF-8. */
const MAX_CHARACTER_BYTES = 3;
/** Longest prefix of an encoded text or list, and longest encoded number. */
const MAX_FIELD_BYTES = 9;

/** Splits operations into consecutive parts that fit into a message each. */
export function splitIntoMessages<T extends readonly unknown[]>(
  operations: readonly T[],
): T[][] {
  const parts: T[][] = [];
  let part: T[] = [];
  let bytes = 0;
  for (const operation of operations) {
    const added = maxEncodedBytes(operation);
    const isFull =
      part.length === MAX_RECORDS_PER_MESSAGE ||
      (part.length > 0 && bytes + added > MAX_OPERATION_BYTES);
    if (isFull) {
      parts.push(part);
      part = [];
      bytes = 0;
    }
    part.push(operation);
    bytes += added;
  }
  if (part.length > 0) parts.push(part);
  return parts;
}

/** Most bytes that an operation can have in a message. */
function maxEncodedBytes(operation: readonly unknown[]): number {
  let bytes = MAX_FIELD_BYTES;
  for (const field of operation) {
    const length = typeof field === "string" ? field.length : 0;
    bytes += MAX_FIELD_BYTES + length * MAX_CHARACTER_BYTES;
  }
  return bytes;
}
