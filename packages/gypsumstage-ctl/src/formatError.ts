import type { CtlError } from "./CtlError.js";
import { formatChanges } from "./formatChanges.js";

/**
 * Formats an error as a human-readable message.
 *
 * @param err - error of a command
 * @returns the message, of one or more lines
 */
export const formatError = (err: CtlError): string => {
    switch (err.kind) {
        case "intent-invalid":
            return [
                "The intent was refused:",
                ...err.problems.map(problem =>
                    `[${problem.section}] ${problem.key}: found ${problem.found}, allowed: ${problem.allowed}`
                ),
            ].join("\n");
        case "conflict":
            return [
                `Another operator changed the same thing: your base is generation ${err.base}, the current one is ${err.current}.`,
                "Their changes:",
                formatChanges(err.theirs),
                "Your changes:",
                formatChanges(err.yours),
                "Nothing was changed. Get the current intent, make your change again and apply it.",
            ].join("\n");
        case "shortfall":
            return [
                "The rest of the system cannot carry the work:",
                ...err.shortfalls.map(each =>
                    `${each.what}: needed ${each.needed}, available ${each.available}`
                ),
            ].join("\n");
        case "not-found":
            return `There is no ${err.what}.`;
        case "already-exists":
            return `There is already a ${err.what}.`;
        case "acceptance-unknown":
            return `It is not known whether the change was accepted (${err.reason}). Look at the status before you repeat it.`;
        case "answer-lost":
            return `The answer was lost (${err.reason}): it is not known whether the command took effect.`;
        case "admin-unreachable":
        case "not-accepted":
        case "request-invalid":
            return `${err.kind}: ${err.reason}`;
    }
};
