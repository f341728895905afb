import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { basename } from "node:path";
import { test } from "node:test";
import { formatFault, mergeSections, parseSection } from "#document";
import { formatAddress } from "#model";
import { hashCredential } from "#operators";
import { loadControlSettings, loadEntrySettings } from "#settings";

/** Slots and connections per server of each service, by example site. */
const SITES = {
  daugava: { alloc: [6, 300], report: [6, 300] },
  bucaramanga: { "backoffice-app": [2, 250], "counter-app": [2, 250] },
} as const;

for (const [site, services] of Object.entries(SITES)) {
  const root = `examples/${site}`;
  const listFiles = (folder: string) =>
    readdirSync(`${root}/${folder}`).map((file) => `${root}/${folder}/${file}`);
  const read = (path: string) => readFileSync(path, "utf8");
  const mergeAll = () => {
    const sections = listFiles("sections").map((file) => {
      const name = basename(file, ".yaml");
      return parseSection({ name, file, text: read(file) }).match(
        (section) => section,
        (faults) => assert.fail(faults.map(formatFault).join("\n")),
      );
    });
    return mergeSections(sections).match(
      (document) => document,
      (faults) => assert.fail(faults.map(formatFault).join("\n")),
    );
  };

  test(`the document of ${site} is valid and has the site's sizes`, () => {
    const document = mergeAll();
    const sizes = document.services.map((service) => {
      const { name, slotsPerServer, connectionsPerServer } = service;
      return [name, [slotsPerServer, connectionsPerServer]];
    });
    assert.deepEqual(Object.fromEntries(sizes), services);
    assert.equal(Object.values(document.regions).flat().length, 4);
  });

  test(`the credentials of ${site} are those of its teams`, () => {
    for (const { name, credential } of mergeAll().teams) {
      const key = read(`${root}/credentials/${name}.key`).trim();
      assert.equal(hashCredential(key), credential);
    }
  });

  test(`the settings of ${site} are valid and share no address`, async () => {
    const dataCentres = Object.values(mergeAll().regions).flat();
    const systemKey = read(`${root}/credentials/system.key`).trim();
    const addresses: string[] = [];
    const roles = { entry: 0, control: 0 };
    for (const file of listFiles("settings")) {
      const role = basename(file).startsWith("entry") ? "entry" : "control";
      roles[role]++;
      if (role === "entry") {
        const settings = (await loadEntrySettings(file))._unsafeUnwrap();
        const { http, peer, metrics } = settings;
        addresses.push(...[http, peer, metrics].map(formatAddress));
        assert.ok(dataCentres.includes(settings.dataCentre));
      } else {
        const settings = (await loadControlSettings(file))._unsafeUnwrap();
        const { http, peer, systemCredentialSha256 } = settings;
        addresses.push(...[http, peer].map(formatAddress));
        assert.equal(systemCredentialSha256, hashCredential(systemKey));
        assert.equal(settings.members.length, 3);
      }
    }
    assert.deepEqual(roles, { entry: 17, control: 3 });
    assert.equal(new Set(addresses).size, addresses.length);
  });
}
