/** Immutable state behind one update function, with listeners that hear of each change. */
export interface Store<State, Event> {
    /** Returns the current state. */
    readonly get: () => State;
    /** Replaces the state with what the update function makes of it and the event. */
    readonly dispatch: (event: Event) => void;
    /** Calls the listener after each change; returns the teardown. */
    readonly registerListener: (listener: (state: State, previous: State) => void) => () => void;
}
