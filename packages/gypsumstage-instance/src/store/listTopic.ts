import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { TopicRecord } from "@gypsumstage/domain/traffic/TopicRecord";
import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import type { FleetStore } from "./FleetStore.js";
import type { StoreError } from "./StoreError.js";
import type { TopicPage } from "./TopicPage.js";

const MAX_PAGES = 1_000;

/**
 * Reads all pages of a topic. Changes made while the pages are read are delivered by the watch that starts at the
 * first page's revision.
 *
 * @param store - the store
 * @param topic - the topic
 * @returns all records and the revision to watch from; or an error when a call fails, when the topic has too many pages
 * or when the store was restored from a copy meanwhile
 */
export const listTopic = async (
    store: FleetStore,
    topic: Topic,
): Promise<Result<Omit<TopicPage, "hasMore">, StoreError>> => {
    const records: TopicRecord[] = [];
    let first: TopicPage | undefined;
    let after: string | undefined;
    for (let page = 0; page < MAX_PAGES; page++) {
        const res = await store.list(topic, after);
        if (!res.ok) {
            return res;
        }
        first ??= res.value;
        if (res.value.era !== first.era) {
            return failure({ kind: "history-gone" });
        }
        records.push(...res.value.records);
        after = res.value.records.at(-1)?.name;
        if (!res.value.hasMore || after === undefined) {
            return success({ records, era: first.era, revision: first.revision });
        }
    }
    return failure({ kind: "store-unreachable", reason: `more than ${MAX_PAGES} pages` });
};
