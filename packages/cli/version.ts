import { BUILD } from "#model";
import { PROTOCOL_VERSIONS } from "#wire";

const { oldest, newest } = PROTOCOL_VERSIONS;

/** Release number of this program. */
export const RELEASE = "0.1.0";

/** What `mangobank --version` prints. */
export const VERSION = `${RELEASE} (build ${BUILD}, protocol ${oldest} to ${newest})`;
