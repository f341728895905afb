/** The kinds of errors in a section, a document or a settings file. */
export type DocumentFaultType =
  | "unreadable_file"
  | "yaml_syntax"
  | "text_too_long"
  | "duplicate_key"
  | "unknown_key"
  | "missing_key"
  | "invalid_key"
  | "invalid_value"
  | "budget_exceeded"
  | "unknown_class"
  | "unreachable_route"
  | "retry_forbidden"
  | "document_too_large"
  | "missing_section"
  | "duplicate_section"
  | "section_without_owner"
  | "unknown_team"
  | "duplicate_data_centre"
  | "unknown_data_centre"
  | "duplicate_service"
  | "unknown_service"
  | "duplicate_stop"
  | "unknown_stop"
  | "stop_cycle";

/** An error in YAML text, with its location and what is expected there. */
export interface DocumentFault {
  readonly type: DocumentFaultType;
  /** File name, or name of the section if the text is not from a file. */
  readonly file: string;
  /** Line number, starting at 1. */
  readonly line: number;
  /** Path of the key, such as `services.alloc.queue_length`. */
  readonly key: string;
  readonly expected: string;
  /** The invalid value or the parser's message, shortened. */
  readonly found?: string;
}

/** Formats a fault in one line, in the style of compiler errors. */
export function formatFault(fault: DocumentFault): string {
  const place = `${fault.file}:${fault.line}`;
  const key = fault.key === "" ? "" : `${fault.key}: `;
  const found = fault.found === undefined ? "" : `, found ${fault.found}`;
  return `${place}: ${key}${fault.type}: expected ${fault.expected}${found}`;
}

const MAX_FOUND_CHARACTERS = 80;

/** Formats an invalid value for an error message. */
export function formatFoundValue(value: unknown): string | undefined {
  if (value === undefined) return undefined;
  return shorten(JSON.stringify(value) ?? String(value));
}

/** Shortens a text, which may be a whole section, for an error message. */
export function shorten(text: string): string {
  return text.length > MAX_FOUND_CHARACTERS
    ? `${text.slice(0, MAX_FOUND_CHARACTERS)}...`
    : text;
}
