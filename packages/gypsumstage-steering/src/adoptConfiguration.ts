import type { Configuration } from "@gypsumstage/domain/Configuration";

/**
 * Decides which of two configurations stays in force: a generation never goes back.
 *
 * @param held - the configuration in force, if any
 * @param seen - a configuration read from the platform or heard from a peer
 * @returns the one of the higher generation; the held one when they are equal
 */
export const adoptConfiguration = (held: Configuration | undefined, seen: Configuration): Configuration =>
    held !== undefined && held.generation >= seen.generation ? held : seen;
