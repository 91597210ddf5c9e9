import type { Log } from "@gypsumstage/shared/Log";

/** Logs which other instances were found and lost. */
interface PeerLog {
    /** Logs the differences between the live instances and those of the call before. */
    readonly update: (liveNames: readonly string[]) => void;
}

/**
 * Creates the log of found and lost instances.
 *
 * @param log - receives the events
 * @returns the log, to which no instance is live
 */
export const createPeerLog = (log: Log): PeerLog => {
    const loggedNames = new Set<string>();
    return {
        update: names => {
            const liveNames = new Set(names);
            for (const name of names.filter(each => !loggedNames.has(each))) {
                loggedNames.add(name);
                log("info", "peer-regained", { peer: name });
            }
            for (const name of [...loggedNames].filter(each => !liveNames.has(each))) {
                loggedNames.delete(name);
                log("warn", "peer-lost", { peer: name });
            }
        },
    };
};
