import assert from "node:assert/strict";
import { test } from "node:test";
import { formatFault } from "#document";
import {
  loadEntrySettings,
  parseControlSettings,
  parseEntrySettings,
} from "./load.ts";

const ENTRY = `id: riga-a-1
cluster: daugava
data_centre: riga-a
http: { host: 127.0.0.1, port: 8001 }
peer: { host: 127.0.0.1, port: 8101 }
metrics: { host: 127.0.0.1, port: 8201 }
control: [{ host: 127.0.0.1, port: 9101 }]
`;
const CONTROL = `id: c1
cluster: daugava
data_centre: riga-a
data_folder: data/c1
http: { host: 127.0.0.1, port: 9001 }
peer: { host: 127.0.0.1, port: 9101 }
members:
  - { id: c1, host: 127.0.0.1, port: 9101 }
  - { id: c2, host: 127.0.0.1, port: 9102 }
system_credential_sha256: "${"a".repeat(64)}"
`;

test("an entry's settings get the default limits", () => {
  const settings = parseEntrySettings("e.yaml", ENTRY)._unsafeUnwrap();
  assert.equal(settings.dataCentre, "riga-a");
  assert.deepEqual(settings.limits, {
    headerMaxBytes: 16_384,
    bodyMaxBytes: 67_108_864,
    responseBodyMaxBytes: 1_073_741_824,
    headerTimeoutMs: 10_000,
    bodyTimeoutMs: 300_000,
    idleConnectionMs: 75_000,
    connectionsMax: 20_000,
    queueMaxCalls: 10_000,
  });
});

test("a relative data folder is resolved against the settings file", () => {
  const settings = parseControlSettings("/etc/mangobank/c1.yaml", CONTROL);
  const { dataFolder, members } = settings._unsafeUnwrap();
  assert.equal(dataFolder, "/etc/mangobank/data/c1");
  assert.deepEqual(members[1], {
    id: "c2",
    peer: { host: "127.0.0.1", port: 9102 },
  });
});

const BAD_ENTRIES: Record<string, { text: string; errors: string[] }> = {
  "an address that others cannot use": {
    text: ENTRY.replace("127.0.0.1, port: 8001", "0.0.0.0, port: 0"),
    errors: [
      'e.yaml:4: http.host: invalid_value: expected an IP number or host name that others can connect to, found "0.0.0.0"',
      "e.yaml:4: http.port: invalid_value: expected a whole number from 1 to 65535 (TCP port), found 0",
    ],
  },
  "one port for two purposes": {
    text: ENTRY.replace("8101", "8001"),
    errors: [
      'e.yaml:5: peer: invalid_value: expected another address than that of http, found "127.0.0.1:8001"',
    ],
  },
  "a limit without its unit": {
    text: `${ENTRY}limits: { header_max: 5 }\n`,
    errors: [
      "e.yaml:8: limits.header_max: unknown_key: expected a mapping with keys among header_max_bytes, body_max_bytes, response_body_max_bytes, header_timeout_ms, body_timeout_ms, idle_connection_ms, connections_max, queue_max_calls",
    ],
  },
  "no control host": {
    text: ENTRY.replace(/control: .*\n/, ""),
    errors: [
      "e.yaml:1: control: missing_key: expected a list of 1 to 17 items",
    ],
  },
};

for (const [name, { text, errors }] of Object.entries(BAD_ENTRIES)) {
  test(`an entry's settings are rejected for ${name}`, () => {
    const faults = parseEntrySettings("e.yaml", text)._unsafeUnwrapErr();
    assert.deepEqual(faults.map(formatFault), errors);
  });
}

test("member ids are unique, and the host's own entry has its peer address", () => {
  const text = CONTROL.replace("id: c2, host", "id: c1, host");
  const faults = parseControlSettings("c.yaml", text)._unsafeUnwrapErr();
  assert.deepEqual(faults.map(formatFault), [
    'c.yaml:9: members.1.id: invalid_value: expected an id that is listed once, found "c1"',
    'c.yaml:9: members.1: invalid_value: expected the peer address of this host, 127.0.0.1:9101, found "127.0.0.1:9102"',
  ]);
});

test("a missing settings file is reported as a fault", async () => {
  const result = await loadEntrySettings("/nowhere/e.yaml");
  assert.equal(result._unsafeUnwrapErr()[0]?.type, "unreadable_file");
});
