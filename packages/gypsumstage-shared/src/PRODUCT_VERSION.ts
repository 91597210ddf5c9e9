/** Version printed by the `--version` option of the programs. */
export const PRODUCT_VERSION = "0.1.0";
