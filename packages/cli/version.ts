/** Version that `mangobank --version` prints. */
export const VERSION = "0.1.0";
