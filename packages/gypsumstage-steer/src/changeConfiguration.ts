import type { AdminError } from "@gypsumstage/domain/AdminError";
import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { Platform } from "@gypsumstage/platform/Platform";
import type { PlatformError } from "@gypsumstage/platform/PlatformError";
import { settleWrite } from "@gypsumstage/platform/settleWrite";
import type { VersionedObject } from "@gypsumstage/platform/VersionedObject";
import { createNonce } from "@gypsumstage/shared/createNonce";
import { failure } from "@gypsumstage/shared/failure";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import type { ConfigurationChange } from "./ConfigurationChange.js";
import type { ConfigurationHead } from "./ConfigurationHead.js";
import { HEAD_KEY } from "./HEAD_KEY.js";
import { readStoredConfiguration } from "./readStoredConfiguration.js";
import type { SteerContext } from "./SteerContext.js";
import { storeConfiguration } from "./storeConfiguration.js";

const MAX_RACES = 6;
const HISTORY_LENGTH = 50;

interface Current {
    readonly head: ConfigurationHead | undefined;
    readonly version: number | undefined;
    readonly configuration: Configuration | undefined;
}

const readCurrent = async ({ platform, store }: SteerContext): Promise<Result<Current, PlatformError>> => {
    const read = await platform.read(HEAD_KEY);
    if (!read.ok) {
        return read;
    }
    const head = read.value?.value as ConfigurationHead | undefined;
    const version = read.value?.version;
    const held = store.get().configuration;
    if (head === undefined || (held !== undefined && held.generation >= head.generation)) {
        return success({ head, version, configuration: held });
    }
    const part = await readStoredConfiguration(platform, head.digest);
    return part.ok ? success({ head, version, configuration: part.value }) : part;
};

const createReader =
    (platform: Platform, head: ConfigurationHead | undefined) =>
    async (generation: number): Promise<Configuration | undefined> => {
        const entry = head?.generation === generation
            ? head
            : head?.history.find(each => each.generation === generation);
        const part = entry === undefined ? undefined : await readStoredConfiguration(platform, entry.digest);
        return part?.ok === true ? part.value : undefined;
    };

const writeHead = (
    platform: Platform,
    current: Current,
    generation: number,
    digest: string,
    nonce: string,
): Promise<Result<boolean, PlatformError>> => {
    const { head, version } = current;
    const history = head === undefined
        ? []
        : [{ generation: head.generation, digest: head.digest, nonce: head.nonce }, ...head.history];
    const next: ConfigurationHead = { generation, digest, nonce, history: history.slice(0, HISTORY_LENGTH) };
    const condition = version === undefined
        ? { kind: "absent" } as const
        : { kind: "version", version } as const;
    const isOwn = (stored: VersionedObject): boolean => {
        const seen = stored.value as ConfigurationHead;
        return seen.nonce === nonce || seen.history.some(entry => entry.nonce === nonce);
    };
    return settleWrite(platform, HEAD_KEY, next, condition, isOwn);
};

/**
 * Accepts a change of the configuration. "Accepted" is told only when the head is known to have changed; a lost
 * answer of the write is settled by reading the head back.
 *
 * @param context - the process
 * @param change - makes the next configuration
 * @returns the accepted configuration, or why it was not accepted
 */
export const changeConfiguration = async (
    context: SteerContext,
    change: ConfigurationChange,
): Promise<Result<Configuration, AdminError>> => {
    const { platform, store, log } = context;
    for (let races = 0; races < MAX_RACES; races++) {
        const current = await readCurrent(context);
        if (!current.ok) {
            return failure({ kind: "not-accepted", reason: JSON.stringify(current.error) });
        }
        const wanted = await change(current.value.configuration, createReader(platform, current.value.head));
        if (!wanted.ok) {
            return wanted;
        }
        const configuration: Configuration = {
            ...wanted.value,
            generation: (current.value.configuration?.generation ?? 0) + 1,
        };
        const digest = await storeConfiguration(platform, configuration);
        if (!digest.ok) {
            return failure({ kind: "not-accepted", reason: JSON.stringify(digest.error) });
        }
        const nonce = createNonce();
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
            context.head.note(configuration.generation, monotonicNow());
            log("info", "configuration-accepted", { generation: configuration.generation });
            return success(configuration);
        }
    }
    return failure({
        kind: "not-accepted",
        reason: "other operators changed the configuration at the same time",
    });
};
