import type { CtlError } from "./CtlError.js";
import { ExitCode } from "./ExitCode.js";

/**
 * Returns the exit code of a failed command.
 *
 * @param err - error of the command
 * @returns one of the values of `ExitCode`
 */
export const getExitCode = (err: CtlError): number => {
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
