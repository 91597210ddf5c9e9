/** One difference between two intents; undefined stands for "not there". */
export interface IntentChange {
    readonly section: string;
    readonly key: string;
    readonly from: string | undefined;
    readonly to: string | undefined;
}
