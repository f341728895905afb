// Runs a bundle until its process exits, and then writes V8's code cache of it, which
// has the functions that a start calls: node FLAGS code_cache.cjs ROLE BUNDLE CACHE
const { createHash } = require("node:crypto");
const { readFileSync, writeFileSync } = require("node:fs");
const { dirname } = require("node:path");
const { Script } = require("node:vm");

const [, , , filename, cache] = process.argv;
const bundle = readFileSync(filename);
const script = new Script(bundle.latin1Slice(), { filename });
process.once("exit", () => {
  const data = script.createCachedData();
  const digest = createHash("sha256").update(bundle).update(data).digest();
  writeFileSync(cache, Buffer.concat([digest, data]));
});
script
  .runInThisContext()
  .call(exports, exports, require, module, filename, dirname(filename));
