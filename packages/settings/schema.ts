import { integer, list, mapping, name, text } from "#document";

const ADDRESS_HOST = text(
  /^(?!0\.0\.0\.0$|::$)[0-9A-Za-z](?:[0-9A-Za-z.:-]{0,251}[0-9A-Za-z])?$|^::[0-9A-Fa-f:.]{1,45}$/,
  {
    expected: "an IP number or host name that others can connect to",
    description: "IP number or host name, as others connect to it.",
  },
);

const PORT = integer({
  min: 1,
  max: 65_535,
  unit: "TCP port",
  description: "Port.",
});

const addressOf = (description: string) =>
  mapping({ host: ADDRESS_HOST, port: PORT }).meta({ description });

const bytes = (description: string, min: number, max: number) =>
  integer({ min, max, unit: "bytes", description });

const milliseconds = (description: string, min: number, max: number) =>
  integer({ min, max, unit: "milliseconds", description });

const count = (
  unit: string,
  description: string,
  bounds: { min: number; max: number },
) => integer({ ...bounds, unit, description });

const id = text(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, {
  expected: "an id of at most 63 letters, digits, and . _ - inside",
  description: "Id of the process, unique within the cluster.",
});

const ENTRY_LIMITS_SCHEMA = mapping({
  header_max_bytes: bytes(
    "Longest request header; a longer one gets 431.",
    1_024,
    1_048_576,
  ).default(16_384),
  body_max_bytes: bytes(
    "Longest request body; a longer one gets 413.",
    0,
    1_099_511_627_776,
  ).default(67_108_864),
  response_body_max_bytes: bytes(
    "Longest response body of a server; a longer one is broken off.",
    65_536,
    1_099_511_627_776,
  ).default(1_073_741_824),
  header_timeout_ms: milliseconds(
    "Time for a caller to send a request's header; a slower one gets 408.",
    100,
    600_000,
  ).default(10_000),
  body_timeout_ms: milliseconds(
    "Time for a caller to send a request's body; a slower one gets 408.",
    100,
    86_400_000,
  ).default(300_000),
  idle_connection_ms: milliseconds(
    "Time after which a caller's idle connection is closed.",
    1_000,
    3_600_000,
  ).default(75_000),
  connections_max: count(
    "connections",
    "Callers' connections at a time; further ones are refused.",
    { min: 1, max: 1_000_000 },
  ).default(20_000),
  queue_max_calls: count(
    "calls",
    "Calls that may wait in this entry, over all services.",
    { min: 1, max: 1_000_000 },
  ).default(10_000),
});

/** Schema of an entry's settings. */
export const ENTRY_SCHEMA = mapping({
  id,
  cluster: name("Name of the deployment."),
  data_centre: name("Data centre of the host, as the document spells it."),
  http: addressOf("Where callers and backend servers connect."),
  peer: addressOf("Where the system's own processes connect."),
  metrics: addressOf("Where metrics are read."),
  handover: addressOf(
    "Where other entries pass calls on that they cannot send to a server; without it, this entry takes none.",
  ).optional(),
  control: list(addressOf("Peer address of a control host."), {
    min: 1,
    max: 17,
  }).meta({ description: "Peer addresses of the control hosts." }),
  limits: ENTRY_LIMITS_SCHEMA.prefault({}).meta({
    description: "Limits of the process.",
  }),
});

const CONTROL_LIMITS_SCHEMA = mapping({
  header_max_bytes: bytes(
    "Longest request header; a longer one gets 431.",
    1_024,
    1_048_576,
  ).default(16_384),
  body_max_bytes: bytes(
    "Longest request body; a longer one gets 413.",
    1_024,
    524_288,
  ).default(524_288),
  request_timeout_ms: milliseconds(
    "Time for an operator to send a request; a slower one gets 408.",
    100,
    600_000,
  ).default(10_000),
  connections_max: count(
    "connections",
    "Operators' connections at a time; further ones are refused.",
    { min: 1, max: 100_000 },
  ).default(256),
});

/** Schema of a control host's settings. */
export const CONTROL_SCHEMA = mapping({
  id,
  cluster: name("Name of the deployment."),
  data_centre: name("Data centre of the host, as the document spells it."),
  data_folder: text(/^.{1,4096}$/s, {
    expected: "the path of a folder",
    description:
      "Folder of the log, the snapshots and the identity; a relative path counts from the settings file.",
  }),
  http: addressOf("Where operators connect."),
  peer: addressOf("Where the system's own processes connect."),
  members: list(
    mapping({ id, host: ADDRESS_HOST, port: PORT }).meta({
      description: "Id and peer address of a control host.",
    }),
    { min: 1, max: 17 },
  ).meta({
    description: "Founding members; a host that joins later is not among them.",
  }),
  system_credential_sha256: text(/^[0-9a-f]{64}$/, {
    expected: "a SHA-256 of 64 lower-case hexadecimal digits",
    description:
      "SHA-256 of the credential that owns the section system and the member list.",
  }),
  limits: CONTROL_LIMITS_SCHEMA.prefault({}).meta({
    description: "Limits of the process.",
  }),
});
