import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { FleetStore } from "./FleetStore.js";
import { labelStoreResult } from "./labelStoreResult.js";

/**
 * Wraps a store client so that its calls are counted by topic and result.
 *
 * @param store - the store
 * @param count - called after each call
 * @returns a client that behaves like `store`
 */
export const countStoreCalls = (store: FleetStore, count: InstanceMetrics["countStoreCall"]): FleetStore => ({
    list: async (topic, after) => {
        const res = await store.list(topic, after);
        count(topic, "list", labelStoreResult(res));
        return res;
    },
    watch: async (topic, revision, waitMs) => {
        const res = await store.watch(topic, revision, waitMs);
        count(topic, "watch", labelStoreResult(res));
        return res;
    },
    close: store.close,
});
