import type { PlaceState } from "@gypsumstage/steering/PlaceState";

/** Follows who occupies the places of the data centre. */
export interface PlaceTracker {
    readonly get: () => PlaceState;
    /** Launches told to others as acknowledged: those whose slots are no longer in use here. */
    readonly acknowledged: () => Readonly<Record<string, string>>;
    /** Whether slots of unoccupied places may be used now. */
    readonly mayUseExtraSlots: (nowMs: number) => boolean;
    /** Judges the places by the current view; returns whether anything changed. */
    readonly refresh: () => boolean;
}
