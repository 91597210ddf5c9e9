/** State of the places of a data centre, derived from the view of one entry. */
export interface PlaceState {
    /** Launch that occupies each place, by place, according to the record that the launch itself sent. */
    readonly acknowledged: Readonly<Record<string, string>>;
    /** Since when the list has shown this launch as the only occupant of its place; undefined while it does not. */
    readonly soleSinceMs: number | undefined;
    /** Whether this launch may use the slots and the budget floors of its place. */
    readonly isOwner: boolean;
}
