import { decideBodyAdmission } from "@gypsumstage/steering/traffic/decideBodyAdmission";
import type { BodyLane } from "./BodyLane.js";
import type { BodyReservation } from "./BodyReservation.js";

interface WaitingBody {
    readonly bytes: number;
    readonly settle: (reservation: BodyReservation | undefined) => void;
}

/**
 * Creates a lane. Bodies that wait get memory in the order in which they came.
 *
 * @param limitBytes - memory of all bodies together
 * @returns the lane, empty
 */
export const createBodyLane = (limitBytes: number): BodyLane => {
    let usedBytes = 0;
    const waiting = new Set<WaitingBody>();
    const sumWaiting = (): number => [...waiting].reduce((sum, { bytes }) => sum + bytes, 0);
    const take = (bytes: number): BodyReservation => {
        usedBytes += bytes;
        let heldBytes = bytes;
        const shrink = (nextBytes: number): void => {
            if (nextBytes < heldBytes) {
                usedBytes -= heldBytes - nextBytes;
                heldBytes = nextBytes;
                admitWaiting();
            }
        };
        const grow = (moreBytes: number): boolean => {
            const hasRoom = usedBytes + moreBytes <= limitBytes;
            if (hasRoom) {
                usedBytes += moreBytes;
                heldBytes += moreBytes;
            }
            return hasRoom;
        };
        return { grow, shrink, release: () => shrink(0) };
    };
    const admitWaiting = (): void => {
        for (const body of waiting) {
            if (decideBodyAdmission({ limitBytes, usedBytes, waitingBytes: 0 }, body.bytes) !== "read") {
                return;
            }
            waiting.delete(body);
            body.settle(take(body.bytes));
        }
    };
    return {
        open: () => take(0),
        reserve: (bytes, { maxMs, cancelled }) => {
            const decision = decideBodyAdmission(
                { limitBytes, usedBytes, waitingBytes: sumWaiting() },
                bytes,
            );
            if (decision !== "wait") {
                return Promise.resolve(decision === "read" ? take(bytes) : undefined);
            }
            return new Promise(resolve => {
                const body: WaitingBody = {
                    bytes,
                    settle: reservation => {
                        clearTimeout(timer);
                        resolve(reservation);
                    },
                };
                const giveUp = (): void => {
                    if (waiting.delete(body)) {
                        body.settle(undefined);
                        admitWaiting();
                    }
                };
                const timer = setTimeout(giveUp, maxMs);
                waiting.add(body);
                void cancelled.then(giveUp);
            });
        },
        usedBytes: () => usedBytes,
    };
};
