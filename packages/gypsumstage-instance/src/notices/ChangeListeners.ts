/** Functions that are called with the key of each notice that changed. */
export interface ChangeListeners {
    readonly notify: (key: string) => void;
    /** Registers a function; the returned one removes it. */
    readonly register: (listener: (key: string) => void) => () => void;
}
