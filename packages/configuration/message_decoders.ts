import * as z from "zod";
import {
  ENTRY_VALUE,
  MESSAGE_VALUES,
  type MessageDecoders,
  messageList,
} from "#model";
import type { ConfigurationChange } from "./change.ts";
import type {
  ConfigurationMessages,
  InventoryMessages,
  RelayedHeartbeat,
} from "./messages.ts";

const { count, text, milliseconds, address } = MESSAGE_VALUES;
/**
 * A figure of a document. Infinity is one of them: earlier builds have stored items
 * with such durations, and a message that is refused would leave the entry without
 * any configuration.
 */
const number = z.custom<number>(
  (value) => typeof value === "number" && !Number.isNaN(value),
  { error: "expected a number" },
);

/** A change of a list; fields of newer builds are kept, since it is passed on. */
function listChange<T extends z.ZodType>(item: T) {
  return z.object({ changed: messageList(item), removed: messageList(text) });
}

const STOP_REPORTS = messageList(z.object({ stop: text, inFlight: count }));
const ENTRIES = listChange(ENTRY_VALUE);
const REQUEST_CLASS = z.looseObject({
  name: text,
  priority: z.enum(["urgent", "patient"]),
  deadlineMs: number,
  repeatable: z.boolean(),
  targetMs: number.optional(),
  attempts: number.optional(),
});
const SERVICE = z.looseObject({
  name: text,
  measuringBudgetPercent: number,
  retryBudgetPercent: number,
  ejectionMaxPercent: number,
  drainLimitS: number,
  coldStartMs: number,
  queueLength: number,
  slotsPerServer: number,
  connectionsPerServer: number,
  classes: messageList(REQUEST_CLASS),
  routes: messageList(z.looseObject({ path: text, class: text })),
  healthPath: text.optional(),
  coldRequestsPerS: number.optional(),
});
const HOST_ROUTE = z.looseObject({
  name: text,
  host: text,
  pathPrefix: text,
  repeatable: z.boolean(),
  timeoutMs: number,
  targetMs: number,
  attempts: number,
  rank: number,
  targets: messageList(z.looseObject({ service: text, weight: number })),
  isPublic: z.boolean().optional(),
  isDownload: z.boolean().optional(),
  allowedRegions: messageList(text).optional(),
});
const TENANT = z.looseObject({
  name: text,
  keyHashes: messageList(text),
  rank: number.optional(),
  ratePerS: number.optional(),
  burst: number.optional(),
  allowedRegions: messageList(text).optional(),
});
const VIEW = { epoch: count, began: number, entries: ENTRIES };
const CHANGE = z.looseObject({
  from: count,
  to: count,
  revision: count,
  clockSkewMs: number,
  regions: z.record(text, messageList(text)).optional(),
  services: listChange(SERVICE),
  plannedStops: listChange(z.looseObject({ name: text })),
  stops: listChange(z.looseObject({ stop: text })),
  hostRoutes: listChange(HOST_ROUTE),
  requestLimits: z
    .looseObject({
      headerMaxBytes: number,
      bodyMaxBytes: number,
      headerTimeoutMs: number,
      idleConnectionMs: number,
    })
    .optional(),
  tenants: listChange(TENANT).optional(),
  evacuated: messageList(text).optional(),
  leaving: listChange(
    z.looseObject({ id: text, incarnation: count, at: number }),
  ),
  controls: listChange(z.looseObject({ id: text, peer: address })),
  settled: messageList(z.object({ epoch: count, ended: number })),
  view: z
    .object({
      ...VIEW,
      former: messageList(z.object({ ...VIEW, ended: number })).optional(),
    })
    .optional(),
}) as unknown as z.ZodType<ConfigurationChange>;
const RELAYED_HEARTBEAT = z.tuple(
  [text, count, count, milliseconds, STOP_REPORTS, ENTRY_VALUE.optional()],
  z.unknown(),
) as unknown as z.ZodType<RelayedHeartbeat>;
const ROUND = z.object({ version: count, round: count });

/** Decoders of the messages that distribute and confirm the configuration. */
export const CONFIGURATION_DECODERS = {
  confirm: z.object({
    entry: ENTRY_VALUE.optional(),
    version: count,
    sequence: count,
    stops: STOP_REPORTS,
  }),
  state: z.object({
    version: count,
    sequence: count.optional(),
    change: CHANGE.optional(),
    ageMs: milliseconds.optional(),
  }),
  entries_seen: z.object({ entries: messageList(RELAYED_HEARTBEAT) }),
  version_ask: ROUND,
  version_answer: ROUND,
  version_want: z.object({ version: count }),
  version_push: z.object({ change: CHANGE, ageMs: milliseconds }),
} satisfies MessageDecoders<ConfigurationMessages>;

const BACKEND_SERVER = z.looseObject({
  id: text,
  service: text,
  address,
  dataCentre: text,
  incarnation: count,
  sequence: count,
  state: z.enum(["ready", "unhealthy", "leaving"]),
  slots: number,
  connections: number,
  inFlight: number,
  startedMsAgo: number,
});

/** Decoders of the messages by which control asks for the known servers. */
export const INVENTORY_DECODERS = {
  servers_ask: z.object({ question: count }),
  servers_answer: z.object({
    question: count,
    servers: messageList(BACKEND_SERVER),
    more: z.boolean(),
  }),
} satisfies MessageDecoders<InventoryMessages>;
