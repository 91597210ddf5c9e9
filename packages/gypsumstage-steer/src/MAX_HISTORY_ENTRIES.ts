/** Earlier configurations that the head lists; older ones are dropped from it. */
export const MAX_HISTORY_ENTRIES = 50;
