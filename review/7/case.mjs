/**
 * Machines that count lose their disks one after the other, never two at a time. The
 * first one is lost for good as it comes back; its successor has had its time before the
 * second is lost.
 */
import { rmSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { items, Record, runCase, Site } from "../lib-2/site.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** `sync_s` of the deployment: a machine counts as lost for so long after its start. */
const SYNC_MS = 4_000;
const MARGIN_MS = 2_000;
const DOWN_MS = 1_000;
const READ_MS = 25_000;
const FIRST_READ_MS = 5_000;
const READ_INTERVAL_MS = 250;

const record = new Record(import.meta.url);

await runCase(
  async () => {
    const site = await Site.create({
      hosts: 5,
      controls: 5,
      record,
      settings: ["self.limits.memory_mb=350", "self.limits.max_fds=4100"],
    });
    const founders = site.ips.slice(0, 4);
    const spare = site.ips[4];
    const startBoth = (ip, bootstrap = false) => {
      site.start(ip, "control", { bootstrap });
      site.start(ip, "entry", { bootstrap });
    };
    const stopBoth = async (ip) => {
      await site.stop(ip, "control");
      await site.stop(ip, "entry");
    };
    const loseDisk = async (ip) => {
      await stopBoth(ip);
      rmSync(site.dataFolder(ip), { recursive: true, force: true });
      record.line(`${ip} has lost its disk`);
    };
    const countOf = (ip, pattern) =>
      site.output.filter(
        (text) => text.startsWith(`${ip} control`) && pattern.test(text),
      ).length;
    /** The host that made the last change of the membership, which leads. */
    const leader = () => {
      const last = site.output
        .filter((text) => /"type":"elected"|membership changed/.test(text))
        .at(-1);
      return last?.split(" ")[0];
    };

    for (const ip of founders) startBoth(ip, true);
    let version = 0;
    let machines = founders;
    const change = async () => {
      version += 1;
      const resources = [
        items.route(
          "lookup",
          { service: "alloc", timeout_s: 1 + (version % 5) },
          `r${version}`,
        ),
      ];
      if (version === 1) resources.push(items.service("alloc"), items.limits());
      await site.patch({ upsert: { resources } }, { ips: machines });
      record.line(`route lookup r${version} is acknowledged`);
    };
    const readBack = async (ms) => {
      const end = performance.now() + ms;
      for (let attempt = 0; performance.now() < end; attempt++) {
        const ip = machines[attempt % machines.length];
        const answer = await site.control(ip, "/mangobank/Config.Get");
        record.line(`read back at ${ip}: ${answer?.status ?? "no answer"}`);
        if (answer?.status === 200) return JSON.parse(answer.text);
        await delay(READ_INTERVAL_MS);
      }
      return undefined;
    };
    await change();
    await site.waitFor("all four machines are members", () =>
      site.output.some((text) => /membership changed/.test(text)),
    );
    await delay(SYNC_MS + MARGIN_MS);

    const first = leader();
    record.line(`the leader is ${first}`);
    const [lost, second, third] = founders.filter((ip) => ip !== first);
    if (HAS_TROUBLE) {
      await loseDisk(lost);
      await delay(DOWN_MS);
      const before = countOf(lost, /cluster_formed/);
      startBoth(lost);
      await site.waitFor(
        "the machine hears from the leader",
        () => countOf(lost, /cluster_formed/) > before,
      );
      await stopBoth(lost);
      record.line(`${lost} is lost for good`);
      machines = founders.filter((ip) => ip !== lost);
      await delay(DOWN_MS);
      startBoth(spare);
      machines = [...machines, spare];
      await change();
      await delay(SYNC_MS + MARGIN_MS);
      await change();
      await loseDisk(second);
      await delay(DOWN_MS);
      startBoth(second);
      if (await readBack(FIRST_READ_MS)) {
        // Those that are left are still a majority; one more disk is lost in its turn.
        await change();
        await delay(SYNC_MS + MARGIN_MS);
        await change();
        await loseDisk(third);
        await delay(DOWN_MS);
        startBoth(third);
      }
    }

    const read = await readBack(READ_MS);
    for (const text of site.output)
      if (/membership (not )?changed/.test(text))
        record.line(text.trim().slice(0, 300));
    const found = read?.resources.find(
      ({ metadata }) => metadata.name === "lookup",
    );
    record.line(
      `read back: ${found?.metadata.version ?? "nothing"}, ` +
        `acknowledged: r${version}`,
    );
    await site.close();
    return found?.metadata.version !== `r${version}`;
  },
  { record },
);
