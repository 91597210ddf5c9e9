/** What an entry knows of the occupants of the places of its data centre. */
export interface PlaceState {
    /** Launch that occupies each place, as its own record told. */
    readonly acknowledged: Readonly<Record<string, string>>;
    /** Since when the list shows this launch as the only occupant of its place; undefined when it does not. */
    readonly soleSinceMs: number | undefined;
    /** Whether this launch may use what belongs to its place. */
    readonly isOwner: boolean;
}
