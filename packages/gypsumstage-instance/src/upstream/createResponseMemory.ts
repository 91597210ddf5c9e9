import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { chooseResponseToCut } from "@gypsumstage/steering/traffic/chooseResponseToCut";
import type { HeldResponse } from "@gypsumstage/steering/traffic/HeldResponse";
import { isReceiptPaused } from "@gypsumstage/steering/traffic/isReceiptPaused";
import type { ResponseFlow } from "./ResponseFlow.js";
import type { ResponseMemory } from "./ResponseMemory.js";

const CHECK_INTERVAL_MS = 250;
const NO_FLOW: ResponseFlow = { canPause: () => false, pause: () => undefined, resume: () => undefined };

interface TrackedResponse extends HeldResponse {
    bytes: number;
    progressAtMs: number;
    isPaused: boolean;
    readonly flow: ResponseFlow;
    readonly onCut: () => void;
}

/**
 * Creates the memory that all responses share. When it is short, large responses are left unread at their endpoints; callers that read
 * nothing are cut off, and responses without an end are evicted, so that neither takes the memory from others.
 *
 * @param limitBytes - limit of all responses together
 * @param onCallerCut - called with the size of the response, and the time since its caller took bytes, before a caller is cut off
 * @returns the memory, with nothing reserved
 */
export const createResponseMemory = (
    limitBytes: number,
    onCallerCut: (bytes: number, idleMs: number) => void = () => undefined,
): ResponseMemory => {
    const held = new Set<TrackedResponse>();
    let usedBytes = 0;
    let cutCallers = 0;
    let timer: NodeJS.Timeout | undefined;
    const remove = (response: TrackedResponse): void => {
        if (held.delete(response)) {
            usedBytes -= response.bytes;
        }
    };
    const cutWhereNeeded = (): void => {
        const nowMs = monotonicNow();
        const response = chooseResponseToCut([...held], usedBytes, limitBytes, nowMs);
        if (response === undefined) {
            return;
        }
        remove(response);
        if (response.isSending) {
            cutCallers += 1;
            onCallerCut(response.bytes, nowMs - response.progressAtMs);
        }
        response.onCut();
    };
    const mustPause = (response: TrackedResponse): boolean =>
        isReceiptPaused(response, held, usedBytes, limitBytes, monotonicNow());
    const resumeWherePossible = (): void => {
        for (const response of [...held].filter(each => each.isPaused)) {
            if (!mustPause(response)) {
                response.isPaused = false;
                response.flow.resume();
            }
        }
    };
    const check = (): void => {
        cutWhereNeeded();
        resumeWherePossible();
        if (![...held].some(each => each.isPaused)) {
            clearInterval(timer);
            timer = undefined;
        }
    };
    const pause = (response: TrackedResponse): void => {
        response.isPaused = true;
        response.flow.pause();
        timer ??= setInterval(check, CHECK_INTERVAL_MS).unref();
    };
    const close = (response: TrackedResponse): void => {
        remove(response);
        // Not at once, as the parser of another response may be running.
        if (timer !== undefined) {
            setImmediate(resumeWherePossible);
        }
    };
    const track = (
        isSending: boolean,
        bytes: number,
        onCut: () => void,
        flow: ResponseFlow,
    ): TrackedResponse => {
        const response = { isSending, bytes, progressAtMs: monotonicNow(), isPaused: false, flow, onCut };
        held.add(response);
        usedBytes += bytes;
        return response;
    };
    return {
        open: (onEvict, flow = NO_FLOW) => {
            const response = track(false, 0, onEvict, flow);
            return {
                grow: bytes => {
                    if (!held.has(response)) {
                        return;
                    }
                    response.bytes += bytes;
                    response.progressAtMs = monotonicNow();
                    usedBytes += bytes;
                    if (usedBytes > limitBytes) {
                        cutWhereNeeded();
                    }
                    if (held.has(response) && !response.isPaused && flow.canPause() && mustPause(response)) {
                        pause(response);
                    }
                },
                close: () => close(response),
            };
        },
        hold: (bytes, onCut) => {
            const response = track(true, bytes, onCut, NO_FLOW);
            if (usedBytes > limitBytes) {
                cutWhereNeeded();
            }
            return {
                recordProgress: () => {
                    response.progressAtMs = monotonicNow();
                },
                close: () => close(response),
            };
        },
        usedBytes: () => usedBytes,
        cutCallers: () => cutCallers,
    };
};
