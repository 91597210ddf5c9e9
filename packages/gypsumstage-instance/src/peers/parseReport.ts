import { describeError } from "@gypsumstage/shared/describeError";
import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { ReportError } from "./ReportError.js";

const isReport = (params: Partial<PeerReport> | undefined): params is PeerReport =>
    typeof params?.name === "string"
    && typeof params.internalAddress === "string"
    && typeof params.address === "string"
    && typeof params.topics === "object"
    && typeof params.inFlight === "object"
    && Array.isArray(params.peers);

/**
 * Parses a peer report, a JSON-RPC notification.
 *
 * @param bytes - the datagram
 * @returns the report, or why the datagram is malformed
 */
export const parseReport = (bytes: Buffer): Result<PeerReport, ReportError> => {
    try {
        const message = JSON.parse(bytes.toString("utf8")) as { readonly params?: Partial<PeerReport>; };
        return isReport(message.params)
            ? success(message.params)
            : failure({ kind: "report-malformed", reason: "fields are missing" });
    }
    catch (err) {
        return failure({ kind: "report-malformed", reason: describeError(err) });
    }
};
