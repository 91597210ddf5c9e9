/** Upper bound of the delay with which the platform's list of members shows a change. */
export const LIST_LAG_MS = 10_000;
