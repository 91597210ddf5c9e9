import type { AdminError } from "@gypsumstage/domain/AdminError";
import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { Result } from "@gypsumstage/shared/Result";

/**
 * Makes the next configuration from the current one. It is asked again when another write came first.
 */
export type ConfigurationChange = (
    current: Configuration | undefined,
    /** Reads an earlier accepted configuration; undefined when it is no longer kept. */
    readGeneration: (generation: number) => Promise<Configuration | undefined>,
) => Promise<Result<Omit<Configuration, "generation">, AdminError>>;
