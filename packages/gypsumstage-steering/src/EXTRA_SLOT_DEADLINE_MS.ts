/**
 * Slots of unoccupied places are used only for requests that end within this time. It bounds how long a new occupant
 * of a place must wait for the slots of the place to become free.
 */
export const EXTRA_SLOT_DEADLINE_MS = 2_000;
