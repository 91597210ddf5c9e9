/** Bytes a second that each place must be able to send on a link without asking anybody. */
export const MIN_LINK_FLOOR_BYTES = 100_000;
