import type { ChangeListeners } from "./ChangeListeners.js";

/**
 * Creates the listeners of a topic of notices.
 *
 * @returns the listeners, none of which is registered
 */
export const createChangeListeners = (): ChangeListeners => {
    const listeners = new Set<(key: string) => void>();
    return {
        notify: key => listeners.forEach(listener => listener(key)),
        register: listener => {
            listeners.add(listener);
            return () => {
                listeners.delete(listener);
            };
        },
    };
};
