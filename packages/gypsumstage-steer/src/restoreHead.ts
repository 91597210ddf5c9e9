import type { Configuration } from "@gypsumstage/domain/Configuration";
import { createNonce } from "@gypsumstage/shared/createNonce";
import type { ConfigurationHead } from "./ConfigurationHead.js";
import { HEAD_KEY } from "./HEAD_KEY.js";
import type { SteerContext } from "./SteerContext.js";
import { storeConfiguration } from "./storeConfiguration.js";

const HISTORY_LENGTH = 50;

/**
 * Writes the configuration in force back to a platform that lost it, for example after a restore from an older
 * copy. The generation stays: what was accepted stays accepted.
 *
 * @param context - the process
 * @param held - the configuration in force here
 * @param head - the older head in the platform, or undefined when there is none
 * @param version - version of that head
 */
export const restoreHead = async (
    context: SteerContext,
    held: Configuration,
    head: ConfigurationHead | undefined,
    version: number | undefined,
): Promise<void> => {
    const digest = await storeConfiguration(context.platform, held);
    if (!digest.ok) {
        return;
    }
    const entry = { generation: held.generation, digest: digest.value, nonce: createNonce() };
    const history = head === undefined
        ? []
        : [{ generation: head.generation, digest: head.digest, nonce: head.nonce }, ...head.history];
    const next: ConfigurationHead = { ...entry, history: history.slice(0, HISTORY_LENGTH) };
    const condition = version === undefined
        ? { kind: "absent" } as const
        : { kind: "version", version } as const;
    const written = await context.platform.write(HEAD_KEY, next, condition);
    context.log("warn", "head-restored", {
        generation: held.generation,
        found: head?.generation ?? 0,
        isWritten: written.ok,
    });
};
