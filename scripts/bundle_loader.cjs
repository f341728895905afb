// Becomes target/mangobank.cjs. Runs the bundle beside it with V8's code cache of the
// role, so that a start does not compile it. Without a cache that fits, V8 compiles.
const { createHash } = require("node:crypto");
const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const DIGEST_BYTES = 32;

const filename = join(__dirname, "mangobank.bundle.js");
const bundle = readFileSync(filename);
const script = new Script(bundle.latin1Slice(), {
  filename,
  cachedData: codeCache(process.argv[2]),
});
script
  .runInThisContext()
  .call(exports, exports, require, module, filename, __dirname);

/**
 * The code cache of a role; undefined without one for this bundle. V8 itself checks
 * its version, its flags and lengths only: a damaged cache ended the process.
 */
function codeCache(role) {
  try {
    const file = readFileSync(join(__dirname, `mangobank.${role}.cache`));
    const data = file.subarray(DIGEST_BYTES);
    const digest = createHash("sha256").update(bundle).update(data).digest();
    return digest.equals(file.subarray(0, DIGEST_BYTES)) ? data : undefined;
  } catch {
    return undefined;
  }
}
