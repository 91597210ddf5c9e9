import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Store } from "@gypsumstage/shared/Store";
import { chooseEndpoint } from "@gypsumstage/steering/chooseEndpoint";
import { countFreeSlots } from "@gypsumstage/steering/countFreeSlots";
import type { EndpointEvent } from "@gypsumstage/steering/EndpointEvent";
import type { EndpointRequest } from "@gypsumstage/steering/EndpointRequest";
import type { EndpointState } from "@gypsumstage/steering/EndpointState";
import { EXTRA_DEADLINE_MS } from "@gypsumstage/steering/EXTRA_DEADLINE_MS";
import type { ClassCaps } from "../classify/ClassCaps.js";
import { createLongSubsets } from "./createLongSubsets.js";
import type { HeldSlot } from "./HeldSlot.js";
import type { SlotAsk } from "./SlotAsk.js";
import type { SlotQueue } from "./SlotQueue.js";

const MAX_WAITING = 256;

interface Waiting {
    readonly ask: SlotAsk;
    readonly sinceMs: number;
    readonly give: (slot: HeldSlot | undefined) => void;
}

/**
 * Creates the queue for the slots of the endpoints. It is short and bounded: a request that cannot be placed soon
 * is refused, so that it can be tried elsewhere while its deadline still allows it.
 *
 * @param endpoints - the endpoints
 * @param caps - the limiter of classes
 * @param mayUseExtra - whether slots of unoccupied places may be used now
 * @returns the queue
 */
export const createSlotQueue = (
    endpoints: Store<readonly EndpointState[], EndpointEvent>,
    caps: ClassCaps,
    mayUseExtra: (nowMs: number) => boolean,
): SlotQueue => {
    const waiting: Waiting[] = [];
    const subsets = createLongSubsets(endpoints);
    const describe = (ask: SlotAsk, nowMs: number): EndpointRequest => ({
        length: ask.cls.length,
        mayUseExtra: ask.remainingMs <= EXTRA_DEADLINE_MS && mayUseExtra(nowMs),
        longSubset: ask.cls.length === "long" ? subsets.of(ask.cls.service) : undefined,
        tried: ask.tried,
        nowMs,
        random: Math.random,
    });
    const hold = (
        endpoint: EndpointState,
        cls: RequestClass,
        waitedMs: number,
        releaseCap: () => void,
    ): HeldSlot => {
        endpoints.dispatch({
            kind: "acquired",
            name: endpoint.name,
            length: cls.length,
            nowMs: monotonicNow(),
        });
        let isReleased = false;
        const release = (): void => {
            if (isReleased) {
                return;
            }
            isReleased = true;
            releaseCap();
            endpoints.dispatch({
                kind: "released",
                name: endpoint.name,
                launch: endpoint.launch,
                length: cls.length,
            });
            serve();
        };
        return { endpoint, waitedMs, release };
    };
    const tryAcquireAfter = (ask: SlotAsk, waitedMs: number): HeldSlot | undefined => {
        const own = endpoints.get().filter(endpoint => endpoint.service === ask.cls.service);
        const endpoint = chooseEndpoint(own, describe(ask, monotonicNow()));
        if (endpoint === undefined) {
            return undefined;
        }
        const releaseCap = caps.acquire(ask.cls);
        return releaseCap === undefined ? undefined : hold(endpoint, ask.cls, waitedMs, releaseCap);
    };
    const serve = (): void => {
        for (const each of [...waiting]) {
            const slot = tryAcquireAfter(each.ask, monotonicNow() - each.sinceMs);
            if (slot !== undefined) {
                waiting.splice(waiting.indexOf(each), 1);
                each.give(slot);
            }
        }
    };
    return {
        tryAcquire: ask => tryAcquireAfter(ask, 0),
        acquire: (ask, waitMs) => {
            const slot = tryAcquireAfter(ask, 0);
            if (slot !== undefined || waiting.length >= MAX_WAITING || waitMs <= 0) {
                return Promise.resolve(slot);
            }
            return new Promise(resolve => {
                const entry: Waiting = {
                    ask,
                    sinceMs: monotonicNow(),
                    give: given => {
                        clearTimeout(timer);
                        resolve(given);
                    },
                };
                const timer = setTimeout(() => {
                    const index = waiting.indexOf(entry);
                    if (index >= 0) {
                        waiting.splice(index, 1);
                        resolve(undefined);
                    }
                }, waitMs);
                waiting.push(entry);
            });
        },
        serve,
        freeSlots: length => {
            const nowMs = monotonicNow();
            const free: Record<string, number> = {};
            const mayUse = mayUseExtra(nowMs);
            for (const endpoint of endpoints.get()) {
                const count = endpoint.isSlowed ? 0 : countFreeSlots(endpoint, {
                    length,
                    mayUseExtra: mayUse,
                    longSubset: length === "long" ? subsets.of(endpoint.service) : undefined,
                    tried: new Set(),
                    nowMs,
                    random: Math.random,
                });
                free[endpoint.service] = (free[endpoint.service] ?? 0) + count;
            }
            return free;
        },
    };
};
