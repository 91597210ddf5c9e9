import type { PlaceState } from "@gypsumstage/steering/PlaceState";

/** Tracks which launches occupy the places of the data centre. */
export interface PlaceTracker {
    readonly get: () => PlaceState;
    /** Returns the launches reported as acknowledged, by place: those whose slots this entry no longer uses. */
    readonly acknowledged: () => Readonly<Record<string, string>>;
    /** Whether slots of unoccupied places may be used now. */
    readonly mayUseExtraSlots: (nowMs: number) => boolean;
    /** Updates the state from the current view and time; returns whether anything changed. */
    readonly refresh: () => boolean;
}
