import type { Platform } from "@gypsumstage/platform/Platform";
import type { PlatformError } from "@gypsumstage/platform/PlatformError";
import { settleWrite } from "@gypsumstage/platform/settleWrite";
import type { VersionedObject } from "@gypsumstage/platform/VersionedObject";
import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { createHash } from "node:crypto";
import type { KeyClaim } from "./KeyClaim.js";

/** A claim older than this is removed by whoever meets it. Callers must not repeat a key after this time. */
const CLAIM_LIFETIME_MS = 24 * 3_600_000;

/**
 * Claims a key that a caller made itself, by creating an object that must not exist yet. Exactly one entry
 * succeeds; the others learn who it is.
 *
 * @param platform - the platform
 * @param key - the key
 * @param ownClaim - the claim to make
 * @returns the claim in force; an error when the platform cannot tell, and then the key was not run by this call
 */
export const claimKey = async (
    platform: Platform,
    key: string,
    ownClaim: KeyClaim,
): Promise<Result<KeyClaim, PlatformError>> => {
    const name = `claims/${createHash("sha256").update(key).digest("hex")}`;
    const isOwn = (stored: VersionedObject): boolean => (stored.value as KeyClaim).nonce === ownClaim.nonce;
    const writeResult = await settleWrite(platform, name, ownClaim, { kind: "absent" }, isOwn);
    if (!writeResult.ok) {
        return writeResult;
    }
    if (writeResult.value) {
        return success(ownClaim);
    }
    const stored = await platform.read(name);
    if (!stored.ok) {
        return stored;
    }
    const claim = stored.value?.value as KeyClaim | undefined;
    if (claim === undefined || stored.value === undefined) {
        return failure({ kind: "platform-unreachable", reason: "the claim vanished" });
    }
    if (ownClaim.madeAtMs - claim.madeAtMs > CLAIM_LIFETIME_MS) {
        await platform.remove(name, stored.value.version);
    }
    return success(claim);
};
