import { createUniqueId } from "@gypsumstage/shared/createUniqueId";
import { parseHomeKey } from "@gypsumstage/steering/parseHomeKey";
import type { EntryContext } from "../EntryContext.js";
import { claimKey } from "../keyed/claimKey.js";
import type { KeyClaim } from "../keyed/KeyClaim.js";
import { raceWithAbort } from "../raceWithAbort.js";
import type { Exchange } from "../read/Exchange.js";
import { HEADERS } from "../read/HEADERS.js";
import type { HeaderFields } from "../reply/HeaderFields.js";
import type { KeyHome } from "./KeyHome.js";

interface HomeReference {
    readonly instance: string;
    readonly incarnation: string;
    readonly madeAtMs: number;
    readonly isClaimed: boolean;
}

const locateHome = (context: EntryContext, home: HomeReference): KeyHome => {
    const { cfg, incarnation, view } = context;
    if (home.instance === cfg.instance.name && home.incarnation === incarnation) {
        return { kind: "here", madeAtMs: home.madeAtMs };
    }
    const peer = view.get().records.find(record =>
        record.name === home.instance && record.entry?.incarnation === home.incarnation
    );
    if (peer === undefined || home.instance === cfg.instance.name) {
        return {
            kind: "lost",
            reason: `the home ${home.instance}.${home.incarnation} is not there any more`,
        };
    }
    const headers: HeaderFields = home.isClaimed ? { [HEADERS.keyMade]: String(home.madeAtMs) } : {};
    return { kind: "elsewhere", peer, headers };
};

/**
 * Finds the home of a key: the entry that the key names, or the one that has claimed the key on the platform.
 * A key without either is claimed for this entry. A forwarded request that carries the time of the claim is already at
 * its home.
 *
 * @param context - the view that contains other entries, and the platform that stores claims
 * @param exchange - the request
 * @param key - the idempotency key
 * @returns where the home is
 */
export const findHome = async (context: EntryContext, exchange: Exchange, key: string): Promise<KeyHome> => {
    if (exchange.source.kind === "peer" && exchange.source.keyMadeAtMs !== undefined) {
        return { kind: "here", madeAtMs: exchange.source.keyMadeAtMs };
    }
    const homeKey = parseHomeKey(key);
    if (homeKey !== undefined) {
        return locateHome(context, { ...homeKey, isClaimed: false });
    }
    const ownClaim: KeyClaim = {
        instance: context.cfg.instance.name,
        incarnation: context.incarnation,
        madeAtMs: Date.now(),
        nonce: createUniqueId(),
    };
    const claim = await raceWithAbort(claimKey(context.platform, key, ownClaim), exchange.signal);
    if (claim === undefined) {
        return { kind: "unclaimed", reason: "the platform did not answer before the deadline" };
    }
    return claim.ok
        ? locateHome(context, { ...claim.value, isClaimed: true })
        : { kind: "unclaimed", reason: JSON.stringify(claim.error) };
};
