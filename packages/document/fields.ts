import * as z from "zod";

/** Information about a key for the reference documentation. */
export interface FieldInfo {
  readonly unit?: string;
  readonly description: string;
}

interface NumberFieldInfo extends FieldInfo {
  readonly min: number;
  readonly max: number;
}

/** Schema of a whole number within bounds. */
export function integer(info: NumberFieldInfo) {
  const { min, max, unit, description } = info;
  const error = `a whole number from ${min} to ${max}${inUnit(unit)}`;
  // A failure of z.int() would skip the refinements of the enclosing mapping.
  return z
    .number({ error })
    .multipleOf(1, { error })
    .min(min, { error })
    .max(max, { error })
    .meta({ unit, description });
}

/** Schema of a number within bounds, which may have a fraction. */
export function decimal(info: NumberFieldInfo) {
  const { min, max, unit, description } = info;
  const error = `a number from ${min} to ${max}${inUnit(unit)}`;
  return z
    .number({ error })
    .min(min, { error })
    .max(max, { error })
    .meta({ unit, description });
}

function inUnit(unit: string | undefined): string {
  return unit === undefined ? "" : ` (${unit})`;
}

/** Schema of a string that matches a pattern. */
export function text(
  pattern: RegExp,
  info: FieldInfo & { readonly expected: string },
) {
  const error = info.expected;
  return z
    .string({ error })
    .regex(pattern, { error })
    .meta({ unit: undefined, description: info.description, expected: error });
}

const NAME_EXPECTED =
  "a name of at most 63 lower-case letters, digits, and hyphens inside";

/**
 * Schema of a name in the form of a DNS label, because the first label of the
 * Host header names a service.
 */
export function name(description: string) {
  return text(/^[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?$/, {
    description,
    expected: NAME_EXPECTED,
  });
}

/** Schema of a boolean. */
export function boolean(description: string) {
  return z.boolean({ error: "true or false" }).meta({ description });
}

/** Schema of a string that is one of a few words. */
export function enumeration<const T extends readonly [string, ...string[]]>(
  words: T,
  description: string,
) {
  const error = `one of ${words.join(", ")}`;
  return z.enum(words, { error }).meta({ description });
}

/** Schema of a mapping with a fixed set of keys. */
export function mapping<T extends z.core.$ZodLooseShape>(shape: T) {
  const expected = `a mapping with keys among ${Object.keys(shape).join(", ")}`;
  return z.strictObject(shape, { error: expected });
}

/** Schema of a mapping from arbitrary names to values of one type. */
export function mappingByName<T extends z.ZodType>(
  value: T,
  options: { readonly key: z.ZodType<string, string>; readonly max: number },
) {
  const error = `a mapping of at most ${options.max} names`;
  // With a key schema in z.record(), an invalid key hides errors in its value.
  const checkKeys = (entries: object, context: z.core.$RefinementCtx) => {
    for (const key of Object.keys(entries ?? {})) {
      const result = options.key.safeParse(key);
      const message = result.error?.issues[0]?.message;
      if (message === undefined) continue;
      const params = { type: "invalid_key" };
      context.addIssue({ code: "custom", path: [key], message, params });
    }
  };
  return z
    .record(z.string(), value, { error })
    .superRefine(checkKeys, { when: ({ value }) => isObject(value) })
    .refine((entries) => Object.keys(entries).length <= options.max, { error })
    .meta({ expected: error });
}

function isObject(value: unknown): value is object {
  return typeof value === "object" && value !== null;
}

/** Schema of a list of limited length. */
export function list<T extends z.ZodType>(
  item: T,
  bounds: { readonly min: number; readonly max: number },
) {
  const error = `a list of ${bounds.min} to ${bounds.max} items`;
  return z
    .array(item, { error })
    .min(bounds.min, { error })
    .max(bounds.max, { error });
}

/** Formats the valid choices for an error message. */
export function oneOf(words: Iterable<string>, what: string): string {
  const names = [...words];
  if (names.length === 0) return `a ${what}, of which there are none`;
  return `one of the ${what} names ${names.join(", ")}`;
}
