import { createNonce } from "@gypsumstage/shared/createNonce";
import { parseKey } from "@gypsumstage/steering/parseKey";
import type { AnswerHeaders } from "../answer/AnswerHeaders.js";
import { beforeAbort } from "../beforeAbort.js";
import type { EntryContext } from "../EntryContext.js";
import { claimKey } from "../keyed/claimKey.js";
import type { KeyClaim } from "../keyed/KeyClaim.js";
import type { Exchange } from "../read/Exchange.js";
import { HEADERS } from "../read/HEADERS.js";
import type { KeyHome } from "./KeyHome.js";

interface Named {
    readonly instance: string;
    readonly incarnation: string;
    readonly madeAtMs: number;
    readonly isClaimed: boolean;
}

const locate = (context: EntryContext, named: Named): KeyHome => {
    const { cfg, incarnation, view } = context;
    if (named.instance === cfg.instance.name && named.incarnation === incarnation) {
        return { kind: "here", madeAtMs: named.madeAtMs };
    }
    const peer = view.get().records.find(record =>
        record.name === named.instance && record.entry?.incarnation === named.incarnation
    );
    if (peer === undefined || named.instance === cfg.instance.name) {
        return {
            kind: "lost",
            reason: `the home ${named.instance}.${named.incarnation} is not there any more`,
        };
    }
    const headers: AnswerHeaders = named.isClaimed ? { [HEADERS.keyMade]: String(named.madeAtMs) } : {};
    return { kind: "elsewhere", peer, headers };
};

/**
 * Finds the home of a key: the one that the key names, or the one that claimed it in the platform.
 *
 * @param context - the process
 * @param exchange - the request
 * @param key - the key
 * @returns the home
 */
export const findHome = async (context: EntryContext, exchange: Exchange, key: string): Promise<KeyHome> => {
    if (exchange.source.kind === "peer" && exchange.source.keyMadeAtMs !== undefined) {
        return { kind: "here", madeAtMs: exchange.source.keyMadeAtMs };
    }
    const parsed = parseKey(key);
    if (parsed !== undefined) {
        return locate(context, { ...parsed, isClaimed: false });
    }
    const own: KeyClaim = {
        instance: context.cfg.instance.name,
        incarnation: context.incarnation,
        madeAtMs: Date.now(),
        nonce: createNonce(),
    };
    const claim = await beforeAbort(claimKey(context.platform, key, own), exchange.signal);
    if (claim === undefined) {
        return { kind: "unclaimed", reason: "the platform did not answer before the deadline" };
    }
    return claim.ok
        ? locate(context, { ...claim.value, isClaimed: true })
        : { kind: "unclaimed", reason: JSON.stringify(claim.error) };
};
