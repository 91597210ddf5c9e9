import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { choosePeer } from "@gypsumstage/steering/choosePeer";
import type { EntryContext } from "../EntryContext.js";
import type { Exchange } from "../read/Exchange.js";
import { NO_FREE_SLOT } from "./NO_FREE_SLOT.js";
import type { Placement } from "./Placement.js";
import type { SlotRequest } from "./SlotRequest.js";

/** Leaves time to send a refusal within 50 ms of the request. */
const MAX_SHORT_WORK_WAIT_MS = 40;
/** Long work can wait longer: the wait is a small part of its duration. */
const MAX_LONG_WORK_WAIT_MS = 1_000;

const createSlotRequest = (exchange: Exchange, tried: ReadonlySet<string>): SlotRequest => ({
    cls: exchange.cls,
    remainingMs: exchange.deadlineAtMs - monotonicNow(),
    tried,
});

const getMaxWaitMs = (exchange: Exchange): number =>
    exchange.cls.length === "short" ? MAX_SHORT_WORK_WAIT_MS : MAX_LONG_WORK_WAIT_MS;

const findPeer = (
    context: EntryContext,
    exchange: Exchange,
    tried: ReadonlySet<string>,
    preferredRegion: string | undefined,
): TimestampedRecord | undefined =>
    choosePeer({
        view: context.view.get(),
        service: exchange.cls.service,
        length: exchange.cls.length,
        self: context.cfg.instance,
        preferredRegion,
        tried,
        nowMs: context.viewAtMs(),
        random: Math.random,
    });

/**
 * Decides where the next attempt of a request is sent: to the target region of a move, else to an endpoint of the
 * entry's data centre, else to another instance of the region. If none has a free slot, waits a short time for a slot
 * in the entry's data centre, then falls back to another region. A forwarded request is sent to an endpoint of the
 * entry's data centre or refused.
 *
 * @param context - the moves, the slots and the view
 * @param exchange - the request
 * @param tried - names of the endpoints and instances that the request has tried
 * @returns the placement, with its reason
 */
export const placeRequest = async (
    context: EntryContext,
    exchange: Exchange,
    tried: ReadonlySet<string>,
): Promise<Placement> => {
    if (exchange.source.kind === "peer") {
        const slot = await context.slotQueue.acquire(
            createSlotRequest(exchange, tried),
            getMaxWaitMs(exchange),
        );
        return slot === undefined
            ? { kind: "none", reason: NO_FREE_SLOT }
            : { kind: "endpoint", slot, reason: "forwarded here" };
    }
    const moveRegion = context.moveRamps.chooseRegion(exchange.cls.service);
    const movePeer = moveRegion === undefined ? undefined : findPeer(context, exchange, tried, moveRegion);
    if (movePeer !== undefined && movePeer.region === moveRegion) {
        return { kind: "peer", peer: movePeer, reason: "move" };
    }
    const slot = context.slotQueue.tryAcquire(createSlotRequest(exchange, tried));
    if (slot !== undefined) {
        return { kind: "endpoint", slot, reason: "own data centre" };
    }
    const peer = findPeer(context, exchange, tried, undefined);
    if (peer !== undefined && peer.region === context.cfg.instance.region) {
        return { kind: "peer", peer, reason: "own region has free slots" };
    }
    const slotAfterWait = await context.slotQueue.acquire(
        createSlotRequest(exchange, tried),
        getMaxWaitMs(exchange),
    );
    if (slotAfterWait !== undefined) {
        return { kind: "endpoint", slot: slotAfterWait, reason: "own data centre after a wait" };
    }
    const peerAfterWait = findPeer(context, exchange, tried, undefined);
    return peerAfterWait === undefined
        ? { kind: "none", reason: "no free slot anywhere" }
        : { kind: "peer", peer: peerAfterWait, reason: "another region has free slots" };
};
