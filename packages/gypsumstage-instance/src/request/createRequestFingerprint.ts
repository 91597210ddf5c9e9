import { hashText } from "@gypsumstage/steering/hashText";
import { createHash } from "node:crypto";
import type { UpstreamRequest } from "../upstream/UpstreamRequest.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";

/** Headers by which an endpoint can tell the caller. The caller's address is not passed on to endpoints. */
const CREDENTIAL_HEADERS: readonly string[] = ["authorization", "cookie"];
const DIGEST_BYTES = 16;

type FingerprintSource = Pick<UpstreamRequest, "method" | "path" | "headers" | "body">;

/**
 * Creates the function that returns the fingerprint of a request. Each part is computed when it is first used, as the
 * fingerprints of most requests are never needed.
 *
 * @param req - the request
 * @returns the fingerprint
 */
export const createRequestFingerprint = (req: FingerprintSource): RequestFingerprint => {
    let headHash: number | undefined;
    let digest: string | undefined;
    const describeHead = (): string => {
        const credentials = CREDENTIAL_HEADERS.map(name => req.headers[name] ?? "");
        return JSON.stringify([req.method, req.headers["host"] ?? "", req.path, ...credentials]);
    };
    const computeDigest = (): string =>
        createHash("sha256")
            .update(describeHead())
            .update(req.body ?? "")
            .digest()
            .subarray(0, DIGEST_BYTES)
            .toString("base64url");
    return {
        get headHash() {
            return headHash ??= hashText(describeHead());
        },
        get digest() {
            return digest ??= computeDigest();
        },
    };
};
