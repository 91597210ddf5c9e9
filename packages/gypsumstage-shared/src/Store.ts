/** Holds an immutable state, replaced only by its update function, and calls listeners after each change. */
export interface Store<State, Event> {
    /** Returns the current state. */
    readonly get: () => State;
    /** Replaces the state with the result of the update function for this event. */
    readonly dispatch: (event: Event) => void;
    /** Registers a listener that is called after each change; returns a function that unregisters it. */
    readonly registerListener: (listener: (state: State, previous: State) => void) => () => void;
}
