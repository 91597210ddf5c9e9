import type { CtlError } from "./CtlError.js";
import { ExitCode } from "./ExitCode.js";

/**
 * Chooses the exit code of a failed command.
 *
 * @param err - why it failed
 * @returns the exit code
 */
export const exitCodeFor = (err: CtlError): number => {
    switch (err.kind) {
        case "conflict":
        case "already-exists":
            return ExitCode.conflict;
        case "not-accepted":
        case "admin-unreachable":
            return ExitCode.notAccepted;
        case "acceptance-unknown":
        case "answer-lost":
            return ExitCode.unknown;
        case "intent-invalid":
        case "request-invalid":
        case "not-found":
        case "shortfall":
            return ExitCode.refused;
    }
};
