/** What one instance of a data centre tells the other data centres of it. */
export interface DataCentreSummary {
    readonly dataCentre: string;
    readonly region: string;
    /** Internal address of the instance that made the summary. */
    readonly author: string;
    /** Digest of the records of the instances there. */
    readonly digest: number;
    /** Requests that its instances received within the window of the retry budget, by service. */
    readonly demand: Readonly<Record<string, number>>;
    /** Time since the summary was made, in milliseconds. */
    readonly ageMs: number;
}
