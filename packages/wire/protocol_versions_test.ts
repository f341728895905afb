import assert from "node:assert/strict";
import { test } from "node:test";
import {
  commonVersion,
  describeVersions,
  type NamedVersions,
} from "./protocol_versions.ts";

const CASES: readonly {
  name: string;
  own: NamedVersions;
  peer: NamedVersions;
  common: number | undefined;
}[] = [
  {
    name: "of a build that names one version only",
    own: { version: 1, newestVersion: 2 },
    peer: { version: 1 },
    common: 1,
  },
  {
    name: "of a newer build",
    own: { version: 1, newestVersion: 2 },
    peer: { version: 2, newestVersion: 4 },
    common: 2,
  },
  {
    name: "of a build that gave up the own versions",
    own: { version: 1, newestVersion: 2 },
    peer: { version: 3, newestVersion: 4 },
    common: undefined,
  },
  {
    name: "of the same build",
    own: { version: 2, newestVersion: 3 },
    peer: { version: 2, newestVersion: 3 },
    common: 3,
  },
];

// Guards against builds that refuse each other during a rolling upgrade.
for (const { name, own, peer, common } of CASES) {
  test(`the version in common with a peer ${name} is ${common}`, () => {
    assert.equal(commonVersion(own, peer), common);
    assert.equal(commonVersion(peer, own), common);
  });
}

test("a range of versions is described by its ends", () => {
  assert.equal(describeVersions({ version: 1 }), "1");
  assert.equal(describeVersions({ version: 2, newestVersion: 2 }), "2");
  assert.equal(describeVersions({ version: 2, newestVersion: 4 }), "2 to 4");
});
