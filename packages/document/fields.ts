import * as z from "zod";

/** Facts about a key that the reference pages show. */
export interface FieldFacts {
  readonly unit?: string;
  readonly description: string;
}

interface NumberFacts extends FieldFacts {
  readonly min: number;
  readonly max: number;
}

/** A whole number within bounds. */
export function integer(facts: NumberFacts) {
  const { min, max, unit, description } = facts;
  const error = `a whole number from ${min} to ${max}${inUnit(unit)}`;
  // z.int() would abort the checks of the mapping around it.
  return z
    .number({ error })
    .multipleOf(1, { error })
    .min(min, { error })
    .max(max, { error })
    .meta({ unit, description });
}

/** A number within bounds, fractions included. */
export function decimal(facts: NumberFacts) {
  const { min, max, unit, description } = facts;
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

/** Text of a given form. */
export function text(
  pattern: RegExp,
  facts: FieldFacts & { readonly expected: string },
) {
  const error = facts.expected;
  return z
    .string({ error })
    .regex(pattern, { error })
    .meta({ unit: undefined, description: facts.description, expected: error });
}

const NAME_EXPECTED =
  "a name of at most 63 lower-case letters, digits, and hyphens inside";

/** A name as DNS labels are, because the first label of Host names a service. */
export function name(description: string) {
  return text(/^[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?$/, {
    description,
    expected: NAME_EXPECTED,
  });
}

/** True or false. */
export function flag(description: string) {
  return z.boolean({ error: "true or false" }).meta({ description });
}

/** One of a few words. */
export function choice<const T extends readonly [string, ...string[]]>(
  words: T,
  description: string,
) {
  const error = `one of ${words.join(", ")}`;
  return z.enum(words, { error }).meta({ description });
}

/** A mapping that has these keys and no others. */
export function mapping<T extends z.core.$ZodLooseShape>(shape: T) {
  const expected = `a mapping with keys among ${Object.keys(shape).join(", ")}`;
  return z.strictObject(shape, { error: expected });
}

/** A mapping from names to values of one kind. */
export function named<T extends z.ZodType>(
  value: T,
  options: { readonly key: z.ZodType<string, string>; readonly max: number },
) {
  const error = `a mapping of at most ${options.max} names`;
  // A key schema of the record itself would hide errors in the key's value.
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

/** A list of bounded length. */
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

/** Names the choices in an error message. */
export function oneOf(words: Iterable<string>, what: string): string {
  const names = [...words];
  if (names.length === 0) return `a ${what}, of which there are none`;
  return `one of the ${what} names ${names.join(", ")}`;
}
