import type { AdminError } from "@gypsumstage/domain/AdminError";
import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { Result } from "@gypsumstage/shared/Result";

/**
 * Computes the next configuration from the current one. Called again with the new current configuration when
 * another write came first.
 */
export type ConfigurationChange = (
    current: Configuration | undefined,
    /** Reads an earlier accepted configuration; returns undefined when it is no longer in the history. */
    readGeneration: (generation: number) => Promise<Configuration | undefined>,
) => Promise<Result<Omit<Configuration, "generation">, AdminError>>;
