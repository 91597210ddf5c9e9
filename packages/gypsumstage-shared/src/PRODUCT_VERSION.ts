/** The version that every binary prints. */
export const PRODUCT_VERSION = "0.1.0";
