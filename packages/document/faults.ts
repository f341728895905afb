/** What is wrong with a section, a document or a settings file. */
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

/** One error in YAML text, with its place and what is expected there. */
export interface DocumentFault {
  readonly type: DocumentFaultType;
  /** File, or section where the text came from no file. */
  readonly file: string;
  /** Counted from 1. */
  readonly line: number;
  /** Path of the key, such as `services.alloc.queue_length`. */
  readonly key: string;
  readonly expected: string;
  /** The offending value, shortened. */
  readonly found?: string;
}

/** Formats a fault on one line, as compilers do. */
export function formatFault(fault: DocumentFault): string {
  const place = `${fault.file}:${fault.line}`;
  const key = fault.key === "" ? "" : `${fault.key}: `;
  const found = fault.found === undefined ? "" : `, found ${fault.found}`;
  return `${place}: ${key}${fault.type}: expected ${fault.expected}${found}`;
}

const FOUND_LENGTH = 80;

/** Describes a value for an error message. */
export function describeFound(value: unknown): string | undefined {
  if (value === undefined) return undefined;
  return shorten(JSON.stringify(value) ?? String(value));
}

/** Cuts a text that may hold a whole section to what a message can carry. */
export function shorten(text: string): string {
  return text.length > FOUND_LENGTH
    ? `${text.slice(0, FOUND_LENGTH)}...`
    : text;
}
