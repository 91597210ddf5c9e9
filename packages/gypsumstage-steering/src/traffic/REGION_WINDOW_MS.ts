/** Length of each of the two consecutive windows whose region shares are compared, in milliseconds. */
export const REGION_WINDOW_MS = 2_000;
