/** This instance's part of the budget of retries and hedges, by service. */
export interface RetryBudget {
    /** Counts a caller's request for the service. */
    readonly countRequest: (service: string) => void;
    /** Callers' requests within the window, by service. */
    readonly demand: () => Readonly<Record<string, number>>;
    /** Retries and hedges that may still be sent, by service. */
    readonly remaining: () => Readonly<Record<string, number>>;
    /** Takes one retry or hedge from the budget; false when none is left. */
    readonly tryTake: (service: string) => boolean;
}
