import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Store } from "@gypsumstage/shared/Store";
import { chooseEndpoint } from "@gypsumstage/steering/chooseEndpoint";
import { countFreeSlots } from "@gypsumstage/steering/countFreeSlots";
import type { EndpointChoiceInput } from "@gypsumstage/steering/EndpointChoiceInput";
import type { EndpointEvent } from "@gypsumstage/steering/EndpointEvent";
import type { EndpointState } from "@gypsumstage/steering/EndpointState";
import { EXTRA_SLOT_DEADLINE_MS } from "@gypsumstage/steering/EXTRA_SLOT_DEADLINE_MS";
import type { ClassLimiter } from "../classify/ClassLimiter.js";
import { createLongSubsets } from "./createLongSubsets.js";
import type { HeldSlot } from "./HeldSlot.js";
import type { SlotQueue } from "./SlotQueue.js";
import type { SlotRequest } from "./SlotRequest.js";

const MAX_QUEUED_REQUESTS = 256;

interface QueuedRequest {
    readonly request: SlotRequest;
    readonly queuedAtMs: number;
    readonly complete: (slot: HeldSlot | undefined) => void;
}

/**
 * Creates the queue for the slots of the endpoints. The queue is short and bounded: a request that gets no slot soon is
 * refused, so that it can be sent to another instance while its deadline still allows it.
 *
 * @param endpoints - the endpoint store
 * @param classLimiter - must admit a request before it gets a slot
 * @param mayUseExtraSlots - returns whether slots of unoccupied places may be used at the given monotonic time
 * @returns the queue
 */
export const createSlotQueue = (
    endpoints: Store<readonly EndpointState[], EndpointEvent>,
    classLimiter: ClassLimiter,
    mayUseExtraSlots: (nowMs: number) => boolean,
): SlotQueue => {
    const queue: QueuedRequest[] = [];
    const longSubsets = createLongSubsets(endpoints);
    const createChoiceInput = (request: SlotRequest, nowMs: number): EndpointChoiceInput => ({
        length: request.cls.length,
        mayUseExtraSlots: request.remainingMs <= EXTRA_SLOT_DEADLINE_MS && mayUseExtraSlots(nowMs),
        longSubset: request.cls.length === "long" ? longSubsets.getSubset(request.cls.service) : undefined,
        tried: request.tried,
        nowMs,
        random: Math.random,
    });
    const holdSlot = (
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
            assignFreeSlots();
        };
        return { endpoint, waitedMs, release };
    };
    const tryAcquireSlot = (request: SlotRequest, waitedMs: number): HeldSlot | undefined => {
        const serviceEndpoints = endpoints.get().filter(endpoint => endpoint.service === request.cls.service);
        const endpoint = chooseEndpoint(serviceEndpoints, createChoiceInput(request, monotonicNow()));
        if (endpoint === undefined) {
            return undefined;
        }
        const releaseCap = classLimiter.acquire(request.cls);
        return releaseCap === undefined ? undefined : holdSlot(endpoint, request.cls, waitedMs, releaseCap);
    };
    const assignFreeSlots = (): void => {
        for (const queued of [...queue]) {
            const slot = tryAcquireSlot(queued.request, monotonicNow() - queued.queuedAtMs);
            if (slot !== undefined) {
                queue.splice(queue.indexOf(queued), 1);
                queued.complete(slot);
            }
        }
    };
    return {
        tryAcquire: request => tryAcquireSlot(request, 0),
        acquire: (request, waitMs) => {
            const slot = tryAcquireSlot(request, 0);
            if (slot !== undefined || queue.length >= MAX_QUEUED_REQUESTS || waitMs <= 0) {
                return Promise.resolve(slot);
            }
            return new Promise(resolve => {
                const queued: QueuedRequest = {
                    request,
                    queuedAtMs: monotonicNow(),
                    complete: acquired => {
                        clearTimeout(timer);
                        resolve(acquired);
                    },
                };
                const timer = setTimeout(() => {
                    const index = queue.indexOf(queued);
                    if (index >= 0) {
                        queue.splice(index, 1);
                        resolve(undefined);
                    }
                }, waitMs);
                queue.push(queued);
            });
        },
        assignFreeSlots,
        freeSlots: length => {
            const nowMs = monotonicNow();
            const freeByService: Record<string, number> = {};
            const areExtraSlotsAllowed = mayUseExtraSlots(nowMs);
            for (const endpoint of endpoints.get()) {
                const count = endpoint.isSlowed ? 0 : countFreeSlots(endpoint, {
                    length,
                    mayUseExtraSlots: areExtraSlotsAllowed,
                    longSubset: length === "long" ? longSubsets.getSubset(endpoint.service) : undefined,
                    tried: new Set(),
                    nowMs,
                    random: Math.random,
                });
                freeByService[endpoint.service] = (freeByService[endpoint.service] ?? 0) + count;
            }
            return freeByService;
        },
    };
};
