import type { Store } from "./Store.js";

/**
 * Creates a store. Its state changes only when an event is dispatched to the update function.
 *
 * @param initial - the initial state
 * @param update - returns the next state; listeners are not called if it returns the same reference
 * @returns the store
 */
export const createStore = <State, Event>(
    initial: State,
    update: (state: State, event: Event) => State,
): Store<State, Event> => {
    let state = initial;
    const listeners = new Set<(state: State, previous: State) => void>();
    return {
        get: () => state,
        dispatch: event => {
            const previous = state;
            state = update(previous, event);
            if (state === previous) {
                return;
            }
            for (const listener of listeners) {
                listener(state, previous);
            }
        },
        registerListener: listener => {
            listeners.add(listener);
            return () => {
                listeners.delete(listener);
            };
        },
    };
};
