/** Key by which the instances of a region are ranked for reading the store. */
export const STORE_READER_KEY = "store-follower";
