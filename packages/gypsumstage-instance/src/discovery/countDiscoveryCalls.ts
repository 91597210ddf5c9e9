import type { InstanceMetrics } from "../InstanceMetrics.js";
import { labelStoreResult } from "../store/labelStoreResult.js";
import type { DiscoveryStore } from "./DiscoveryStore.js";

const TOPIC = "discovery";

/**
 * Wraps the access to the discovery record so that its calls are counted by result.
 *
 * @param store - the access
 * @param count - called after each call
 * @returns an access that behaves like `store`
 */
export const countDiscoveryCalls = (
    store: DiscoveryStore,
    count: InstanceMetrics["countStoreCall"],
): DiscoveryStore => ({
    read: async mayBeOld => {
        const res = await store.read(mayBeOld);
        count(TOPIC, "read", labelStoreResult(res));
        return res;
    },
    write: async (addresses, revision) => {
        const res = await store.write(addresses, revision);
        count(TOPIC, "write", labelStoreResult(res));
        return res;
    },
    close: store.close,
});
