import type { Configuration } from "@gypsumstage/domain/Configuration";
import { createUniqueId } from "@gypsumstage/shared/createUniqueId";
import type { ConfigurationHead } from "./ConfigurationHead.js";
import { HEAD_KEY } from "./HEAD_KEY.js";
import { MAX_HISTORY_ENTRIES } from "./MAX_HISTORY_ENTRIES.js";
import type { SteerContext } from "./SteerContext.js";
import { storeConfiguration } from "./storeConfiguration.js";

/**
 * Writes the local configuration back to a platform that has lost it, for example after a restore from an older
 * backup. The generation is kept: an accepted configuration remains accepted.
 *
 * @param context - the platform that is written to, and the log
 * @param localConfiguration - the configuration in force in this process
 * @param head - the older head in the platform, or undefined when there is none
 * @param version - version of that head, on which the write is conditional; undefined when there is none
 */
export const restoreHead = async (
    context: SteerContext,
    localConfiguration: Configuration,
    head: ConfigurationHead | undefined,
    version: number | undefined,
): Promise<void> => {
    const digest = await storeConfiguration(context.platform, localConfiguration);
    if (!digest.ok) {
        return;
    }
    const entry = {
        generation: localConfiguration.generation,
        digest: digest.value,
        nonce: createUniqueId(),
    };
    const history = head === undefined
        ? []
        : [{ generation: head.generation, digest: head.digest, nonce: head.nonce }, ...head.history];
    const next: ConfigurationHead = { ...entry, history: history.slice(0, MAX_HISTORY_ENTRIES) };
    const condition = version === undefined
        ? { kind: "absent" } as const
        : { kind: "version", version } as const;
    const written = await context.platform.write(HEAD_KEY, next, condition);
    context.log("warn", "head-restored", {
        generation: localConfiguration.generation,
        found: head?.generation ?? 0,
        isWritten: written.ok,
    });
};
