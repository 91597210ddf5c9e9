import type { Result } from "@gypsumstage/shared/Result";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { FleetStore } from "./FleetStore.js";
import type { StoreError } from "./StoreError.js";

const nameResult = (res: Result<unknown, StoreError>): string => res.ok ? "answered" : res.error.kind;

/**
 * Wraps a store so that each call is counted by its result.
 *
 * @param store - the store
 * @param count - counts a call
 * @returns the store
 */
export const countStoreCalls = (store: FleetStore, count: InstanceMetrics["countStoreCall"]): FleetStore => ({
    list: async (topic, after) => {
        const res = await store.list(topic, after);
        count(topic, "list", nameResult(res));
        return res;
    },
    watch: async (topic, revision, waitMs) => {
        const res = await store.watch(topic, revision, waitMs);
        count(topic, "watch", nameResult(res));
        return res;
    },
    close: store.close,
});
