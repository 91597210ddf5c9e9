/** Addresses to which an instance introduces itself, because it does not know who is there. */
export interface Introductions {
    /** Adds addresses that another instance named. */
    readonly add: (addresses: readonly string[]) => void;
    /** Adds addresses at which an instance may live of which no live one is known, though it may be recorded. */
    readonly retry: (addresses: readonly string[]) => void;
    /** Returns the addresses that are due, without known ones that another instance named. */
    readonly next: (known: ReadonlySet<string>, isAnyLive: boolean) => readonly string[];
    /** Returns a seed at random; undefined when there is no other instance among them. */
    readonly firstSeed: () => string | undefined;
}
