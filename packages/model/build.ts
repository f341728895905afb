declare const MANGOBANK_BUILD: string | undefined;

/** Names this build in log lines and metrics; bundles carry their commit. */
export const BUILD: string =
  typeof MANGOBANK_BUILD === "string" ? MANGOBANK_BUILD : "source";
