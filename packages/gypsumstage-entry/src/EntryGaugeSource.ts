/** Callbacks that return the current values of the entry's gauges. */
export interface EntryGaugeSource {
    readonly freeSlots: () => Readonly<Record<string, number>>;
    readonly budgets: () => readonly { readonly resource: string; readonly usable: number; }[];
    readonly viewAgeMs: () => number;
    readonly generation: () => number;
    readonly keys: () => number;
    readonly slowedEndpoints: () => number;
}
