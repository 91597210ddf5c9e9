import type { DataCentreSummary } from "@gypsumstage/steering/traffic/DataCentreSummary";

/** Fetches the records of data centres from other instances. */
export interface MemberFetch {
    /** Fetches the records of a data centre from the author of its summary. */
    readonly request: (summary: Pick<DataCentreSummary, "dataCentre" | "author">) => void;
    /** Fetches the records of the own data centre from an instance; returns false where the last fetch was too short ago. */
    readonly requestOwn: (address: string) => boolean;
    readonly stop: () => void;
}
