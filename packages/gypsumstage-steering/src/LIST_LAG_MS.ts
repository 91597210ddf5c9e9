/** Longest time by which the platform's list of members may lag behind the truth. */
export const LIST_LAG_MS = 10_000;
