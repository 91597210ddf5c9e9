import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import type { TimeReading } from "@gypsumstage/steering/traffic/TimeReading";
import { toTopicEvents } from "@gypsumstage/steering/traffic/toTopicEvents";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { FleetStore } from "../store/FleetStore.js";
import type { ConfirmationRecord } from "./ConfirmationRecord.js";
import type { ConfirmationSource } from "./ConfirmationSource.js";
import type { ConfirmQuery } from "./ConfirmQuery.js";
import type { ConfirmReply } from "./ConfirmReply.js";
import type { PolicyCopy } from "./PolicyCopy.js";

const NO_REPLY: Partial<ConfirmReply> = {};

/**
 * Creates the ways to a confirmation: the store, and other instances, which also send what changed. The age counts from before the
 * read or the question, so a slow response makes it older.
 *
 * @param copy - this instance's copy of the configuration, which is brought up to date
 * @param record - receives the confirmations
 * @param store - the platform's store
 * @param rpc - client for RPC calls to other instances
 * @param now - reads the clocks
 * @param metrics - counts the confirmations
 * @returns the ways to a confirmation
 */
export const createConfirmationSource = (
    copy: PolicyCopy,
    record: ConfirmationRecord,
    store: Pick<FleetStore, "watch">,
    rpc: Pick<RpcClient, "call">,
    now: () => TimeReading,
    metrics: Pick<InstanceMetrics, "countConfirmation">,
): ConfirmationSource => {
    const topic = copy.topics.policy;
    const isComplete = (era: number, revision: number): boolean => {
        const own = topic.get();
        return own.revision !== undefined && own.era === era && own.revision >= revision;
    };
    const readStore = async (): Promise<boolean> => {
        const { revision } = topic.get();
        if (revision === undefined) {
            return false;
        }
        const from = now();
        const res = await store.watch("policy", revision, 0);
        // A response that is older than the copy shows nothing of what the store holds now.
        if (!res.ok || res.value.revision < revision) {
            return false;
        }
        topic.dispatch({ kind: "changed", ...res.value, retainUntilMs: undefined });
        if (!isComplete(res.value.era, res.value.revision)) {
            return false;
        }
        record.add({ from, addedMs: 0 });
        return true;
    };
    const ask = async (address: string, isReadWanted: boolean): Promise<boolean> => {
        const { era, revision } = topic.get();
        const query: ConfirmQuery = { era, since: revision, isReadWanted };
        const from = now();
        const res = await rpc.call<Partial<ConfirmReply>>(address, "policy.confirm", query);
        const { update, ageMs, policyVersion = 0 } = res.ok ? res.value : NO_REPLY;
        if (update === undefined || ageMs === undefined || !(ageMs >= 0)) {
            return false;
        }
        toTopicEvents(update, monotonicNow()).forEach(topic.dispatch);
        const ownVersion = copy.view().policy?.version ?? 0;
        if (!isComplete(update.era ?? 0, update.revision) || ownVersion < policyVersion) {
            return false;
        }
        record.add({ from, addedMs: ageMs });
        return true;
    };
    const count = async (source: "store" | "instance", confirmed: Promise<boolean>): Promise<boolean> => {
        const isConfirmed = await confirmed;
        metrics.countConfirmation(source, isConfirmed ? "confirmed" : "failed");
        return isConfirmed;
    };
    return {
        readStore: () => count("store", readStore()),
        ask: (address, isReadWanted) => count("instance", ask(address, isReadWanted)),
    };
};
