import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type { BackendServer, BackendServerId } from "#model";

/** Why an announcement or a leave was refused. */
export type AnnouncementFault =
  | { readonly type: "malformed"; readonly problems: readonly string[] }
  | { readonly type: "unknown_service"; readonly service: string }
  | { readonly type: "unknown_server"; readonly id: BackendServerId }
  | { readonly type: "older_incarnation"; readonly known: number }
  | { readonly type: "older_sequence"; readonly known: number }
  | { readonly type: "implausible_sequence"; readonly known: number }
  /** The known address has not been shown to be wrong, or this one to be right. */
  | {
      readonly type: "unproven_address";
      readonly known?: string | undefined;
      /** Whether checks of the addresses are still running. */
      readonly isPending: boolean;
    }
  /** The id is known as a server of another service. */
  | { readonly type: "other_service"; readonly known: string }
  | { readonly type: "already_leaving"; readonly incarnation: number }
  | { readonly type: "too_many_servers"; readonly limit: number }
  | { readonly type: "not_ready" };

export const ANNOUNCEMENT_STATUS = {
  malformed: 400,
  unknown_service: 404,
  unknown_server: 404,
  older_incarnation: 409,
  older_sequence: 409,
  implausible_sequence: 409,
  unproven_address: 409,
  other_service: 409,
  already_leaving: 410,
  too_many_servers: 503,
  not_ready: 503,
} as const satisfies Record<AnnouncementFault["type"], number>;

/** The HTTP response to a refused request; 503 goes with `Retry-After: 1`. */
export function refusalResponse(fault: AnnouncementFault) {
  const { type, ...detail } = fault;
  return {
    status: ANNOUNCEMENT_STATUS[type],
    body: { error: type, ...detail },
  };
}

/** The JSON response to an accepted announcement. */
export interface LeaseResponse {
  readonly lease_ms: number;
  readonly renew_ms: number;
}

/** A server's request to be removed because it is leaving. */
export interface LeaveRequest {
  readonly id: BackendServerId;
  /** Found by the id if absent. */
  readonly service?: string;
  readonly incarnation: number;
}

/** Characters that need no escaping in a path, a key or a log line. */
const NAME = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, "must match [A-Za-z0-9._-]");
/** A host name or an IP address. */
const HOST = z.string().regex(/^[A-Za-z0-9:.-]{1,253}$/, "must be a host");
const COUNT = z.number().int().nonnegative();

const ANNOUNCEMENT = z.object({
  service: NAME,
  host: HOST,
  port: z.number().int().min(1).max(65_535),
  data_centre: NAME,
  incarnation: COUNT,
  sequence: COUNT,
  state: z.enum(["ready", "unhealthy", "leaving"]),
  slots: z.number().int().min(1).max(100_000),
  connections: z.number().int().min(1).max(1_000_000),
  in_flight: COUNT,
  started_ms_ago: z.number().nonnegative(),
});

/** Configured sizes for announcements that name none. */
export interface AnnouncementDefaults {
  readonly slots?: number;
  readonly connections?: number;
}

/** Parses the body of `PUT /.mangobank/servers/{id}`. */
export function parseAnnouncement(
  id: string,
  body: unknown,
  defaults: AnnouncementDefaults = {},
): Result<BackendServer, AnnouncementFault> {
  const withDefaults =
    typeof body === "object" && body !== null ? { ...defaults, ...body } : body;
  const parsed = ANNOUNCEMENT.safeParse(withDefaults);
  const parsedId = NAME.safeParse(id);
  if (!parsed.success || !parsedId.success) {
    const problems = [
      ...(parsedId.error?.issues ?? []).map((i) => `id: ${i.message}`),
      ...(parsed.error?.issues ?? []).map(
        (i) => `${i.path.join(".")}: ${i.message}`,
      ),
    ];
    return err({ type: "malformed", problems });
  }
  const announcement = parsed.data;
  return ok({
    id,
    service: announcement.service,
    address: { host: announcement.host, port: announcement.port },
    dataCentre: announcement.data_centre,
    incarnation: announcement.incarnation,
    sequence: announcement.sequence,
    state: announcement.state,
    slots: announcement.slots,
    connections: announcement.connections,
    inFlight: announcement.in_flight,
    startedMsAgo: Math.round(announcement.started_ms_ago),
  });
}

/** Parses `DELETE /.mangobank/servers/{id}?incarnation=N[&service=S]`. */
export function parseLeave(
  id: string,
  query: URLSearchParams,
): Result<LeaveRequest, AnnouncementFault> {
  const problems: string[] = [];
  const incarnation = query.get("incarnation") ?? "";
  const service = query.get("service") ?? undefined;
  if (!NAME.safeParse(id).success) problems.push("id: must be a name");
  if (!/^\d{1,15}$/.test(incarnation)) {
    problems.push("incarnation: must be a whole number");
  }
  if (service !== undefined && !NAME.safeParse(service).success) {
    problems.push("service: must be a name");
  }
  if (problems.length > 0) return err({ type: "malformed", problems });
  return ok({ id, service, incarnation: Number(incarnation) });
}
