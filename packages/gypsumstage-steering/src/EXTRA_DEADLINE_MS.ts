/** Slots of unoccupied places are used only for requests that end within this time. */
export const EXTRA_DEADLINE_MS = 2_000;
