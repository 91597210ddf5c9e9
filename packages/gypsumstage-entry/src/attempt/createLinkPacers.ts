import { createLinkPacer } from "./createLinkPacer.js";
import type { LinkPacer } from "./LinkPacer.js";
import type { LinkPacers } from "./LinkPacers.js";

const GRANT_INTERVAL_MS = 5;

/**
 * Creates the pacers of the links out of a region. The pacer of a link is created when the link is first used.
 *
 * @param region - region of the instance
 * @param getUsableRate - returns the bytes per second that this instance may use of a resource; undefined without a cap
 * @returns the pacers; call `stop` to end their timer
 */
export const createLinkPacers = (
    region: string,
    getUsableRate: (resource: string) => number | undefined,
): LinkPacers => {
    const pacers = new Map<string, LinkPacer>();
    const getPacer = (resource: string): LinkPacer => {
        const existing = pacers.get(resource);
        const pacer = existing ?? createLinkPacer(() => getUsableRate(resource));
        pacers.set(resource, pacer);
        return pacer;
    };
    const timer = setInterval(() => pacers.forEach(pacer => pacer.grantQueued()), GRANT_INTERVAL_MS);
    return {
        acquire: (toRegion, bytes, length, signal) => {
            const resource = `link:${region}>${toRegion}`;
            return getUsableRate(resource) === undefined
                ? Promise.resolve()
                : getPacer(resource).acquire(bytes, length, signal);
        },
        demand: () => Object.fromEntries([...pacers].map(([resource, pacer]) => [resource, pacer.demand()])),
        stop: () => clearInterval(timer),
    };
};
