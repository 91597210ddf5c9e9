/** A difference between two intents; `undefined` means that the key is absent. */
export interface IntentChange {
    readonly section: string;
    readonly key: string;
    readonly from: string | undefined;
    readonly to: string | undefined;
}
