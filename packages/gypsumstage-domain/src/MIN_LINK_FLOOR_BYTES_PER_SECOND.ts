/** Smallest rate at which each place must be able to send on a link without a grant from a budget plan. */
export const MIN_LINK_FLOOR_BYTES_PER_SECOND = 100_000;
