import { createLinkPacer } from "./createLinkPacer.js";
import type { LinkPacer } from "./LinkPacer.js";
import type { LinkPacers } from "./LinkPacers.js";

const TICK_MS = 5;

/**
 * Creates the pacers of the links out of a region; a link gets its pacer when it is first used.
 *
 * @param region - region of the instance
 * @param usable - tells what this instance may use of a resource; undefined when it has no cap
 * @returns the pacers
 */
export const createLinkPacers = (
    region: string,
    usable: (resource: string) => number | undefined,
): LinkPacers => {
    const pacers = new Map<string, LinkPacer>();
    const pacerOf = (resource: string): LinkPacer => {
        const held = pacers.get(resource);
        const pacer = held ?? createLinkPacer(() => usable(resource));
        pacers.set(resource, pacer);
        return pacer;
    };
    const timer = setInterval(() => pacers.forEach(pacer => pacer.serve()), TICK_MS);
    return {
        take: (to, bytes, length, signal) => {
            const resource = `link:${region}>${to}`;
            return usable(resource) === undefined
                ? Promise.resolve()
                : pacerOf(resource).take(bytes, length, signal);
        },
        demand: () => Object.fromEntries([...pacers].map(([resource, pacer]) => [resource, pacer.demand()])),
        stop: () => clearInterval(timer),
    };
};
