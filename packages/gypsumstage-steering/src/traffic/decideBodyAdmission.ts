import type { BodyLaneState } from "./BodyLaneState.js";

/**
 * Decides whether a body is read now, waits unread, or is refused. A body larger than the lane is read when the lane is empty. No
 * more than the lane holds at a time waits, as what comes after that is unlikely to be served in time.
 *
 * @param lane - the lane's memory
 * @param bytes - size of the body
 * @returns the decision
 */
export const decideBodyAdmission = (
    { limitBytes, usedBytes, waitingBytes }: BodyLaneState,
    bytes: number,
): "read" | "wait" | "refuse" => {
    const fits = (takenBytes: number): boolean => takenBytes === 0 || takenBytes + bytes <= limitBytes;
    if (waitingBytes === 0 && fits(usedBytes)) {
        return "read";
    }
    return fits(waitingBytes) ? "wait" : "refuse";
};
