/** Why an intent failed validation. */
export interface IntentError {
    readonly kind: "intent-invalid";
    readonly problems: readonly IntentProblem[];
}

interface IntentProblem {
    readonly section: string;
    readonly key: string;
    readonly found: string;
    readonly allowed: string;
}
