import type { AdminError } from "@gypsumstage/domain/AdminError";
import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { Platform } from "@gypsumstage/platform/Platform";
import type { PlatformError } from "@gypsumstage/platform/PlatformError";
import type { VersionedObject } from "@gypsumstage/platform/VersionedObject";
import { writeAndConfirm } from "@gypsumstage/platform/writeAndConfirm";
import { createUniqueId } from "@gypsumstage/shared/createUniqueId";
import { failure } from "@gypsumstage/shared/failure";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import type { ConfigurationChange } from "./ConfigurationChange.js";
import type { ConfigurationHead } from "./ConfigurationHead.js";
import { HEAD_KEY } from "./HEAD_KEY.js";
import { MAX_HISTORY_ENTRIES } from "./MAX_HISTORY_ENTRIES.js";
import { readStoredConfiguration } from "./readStoredConfiguration.js";
import type { SteerContext } from "./SteerContext.js";
import { storeConfiguration } from "./storeConfiguration.js";

/** Maximum attempts of one change while other writers change the head at the same time. */
const MAX_ATTEMPTS = 6;

interface CurrentState {
    readonly head: ConfigurationHead | undefined;
    readonly version: number | undefined;
    readonly configuration: Configuration | undefined;
}

const readCurrentState = async (
    { platform, store }: SteerContext,
): Promise<Result<CurrentState, PlatformError>> => {
    const read = await platform.read(HEAD_KEY);
    if (!read.ok) {
        return read;
    }
    const head = read.value?.value as ConfigurationHead | undefined;
    const version = read.value?.version;
    const localConfiguration = store.get().configuration;
    if (
        head === undefined
        || (localConfiguration !== undefined && localConfiguration.generation >= head.generation)
    ) {
        return success({ head, version, configuration: localConfiguration });
    }
    const stored = await readStoredConfiguration(platform, head.digest);
    return stored.ok ? success({ head, version, configuration: stored.value }) : stored;
};

const createGenerationReader =
    (platform: Platform, head: ConfigurationHead | undefined) =>
    async (generation: number): Promise<Configuration | undefined> => {
        const entry = head?.generation === generation
            ? head
            : head?.history.find(each => each.generation === generation);
        const stored = entry === undefined
            ? undefined
            : await readStoredConfiguration(platform, entry.digest);
        return stored?.ok === true ? stored.value : undefined;
    };

const writeHead = (
    platform: Platform,
    current: CurrentState,
    generation: number,
    digest: string,
    nonce: string,
): Promise<Result<boolean, PlatformError>> => {
    const { head, version } = current;
    const history = head === undefined
        ? []
        : [{ generation: head.generation, digest: head.digest, nonce: head.nonce }, ...head.history];
    const next: ConfigurationHead = {
        generation,
        digest,
        nonce,
        history: history.slice(0, MAX_HISTORY_ENTRIES),
    };
    const condition = version === undefined
        ? { kind: "absent" } as const
        : { kind: "version", version } as const;
    const isOwnWrite = (stored: VersionedObject): boolean => {
        const storedHead = stored.value as ConfigurationHead;
        return storedHead.nonce === nonce || storedHead.history.some(entry => entry.nonce === nonce);
    };
    return writeAndConfirm(platform, HEAD_KEY, next, condition, isOwnWrite);
};

/**
 * Applies a change to the accepted configuration with a conditional write of the head. Success is reported only when
 * the head has certainly changed. When the response to the write is lost, the head is read back to determine the
 * outcome.
 *
 * @param context - the platform that is written to, and the view that receives the accepted configuration
 * @param change - computes the next configuration; called again after a conflicting write
 * @returns the accepted configuration; the error `acceptance-unknown` when the outcome of the write is not known
 */
export const changeConfiguration = async (
    context: SteerContext,
    change: ConfigurationChange,
): Promise<Result<Configuration, AdminError>> => {
    const { platform, store, log } = context;
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
        const current = await readCurrentState(context);
        if (!current.ok) {
            return failure({ kind: "not-accepted", reason: JSON.stringify(current.error) });
        }
        const proposed = await change(
            current.value.configuration,
            createGenerationReader(platform, current.value.head),
        );
        if (!proposed.ok) {
            return proposed;
        }
        const configuration: Configuration = {
            ...proposed.value,
            generation: (current.value.configuration?.generation ?? 0) + 1,
        };
        const digest = await storeConfiguration(platform, configuration);
        if (!digest.ok) {
            return failure({ kind: "not-accepted", reason: JSON.stringify(digest.error) });
        }
        const nonce = createUniqueId();
        const written = await writeHead(
            platform,
            current.value,
            configuration.generation,
            digest.value,
            nonce,
        );
        if (!written.ok) {
            return failure({ kind: "acceptance-unknown", nonce, reason: JSON.stringify(written.error) });
        }
        if (written.value) {
            store.dispatch({ kind: "configuration-seen", configuration });
            context.headReadTracker.recordRead(configuration.generation, monotonicNow());
            log("info", "configuration-accepted", { generation: configuration.generation });
            return success(configuration);
        }
    }
    return failure({
        kind: "not-accepted",
        reason: "other operators changed the configuration at the same time",
    });
};
