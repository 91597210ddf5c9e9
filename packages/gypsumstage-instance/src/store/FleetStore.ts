import type { Topic } from "@gypsumstage/domain/traffic/Topic";
import type { Result } from "@gypsumstage/shared/Result";
import type { StoreError } from "./StoreError.js";
import type { TopicChanges } from "./TopicChanges.js";
import type { TopicPage } from "./TopicPage.js";

/** Client of the platform's store, which holds the configuration, the endpoints and the evacuations. */
export interface FleetStore {
    /** Reads one page of a topic; `after` is the last record name of the page before, undefined for the first. */
    readonly list: (topic: Topic, after: string | undefined) => Promise<Result<TopicPage, StoreError>>;
    /** Waits at most `waitMs` milliseconds for changes after a revision. */
    readonly watch: (
        topic: Topic,
        revision: number,
        waitMs: number,
    ) => Promise<Result<TopicChanges, StoreError>>;
    /** Closes the connections; pending calls fail. */
    readonly close: () => Promise<void>;
}
