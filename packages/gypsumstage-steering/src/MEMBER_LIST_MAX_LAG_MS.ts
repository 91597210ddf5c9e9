/** Upper bound of the delay with which the platform's list of members shows a change. */
export const MEMBER_LIST_MAX_LAG_MS = 10_000;
