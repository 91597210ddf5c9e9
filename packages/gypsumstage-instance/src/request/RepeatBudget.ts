/** This instance's part of the bound on second attempts. */
export interface RepeatBudget {
    /** Counts a request for the service. */
    readonly countRequest: (service: string) => void;
    /** Requests within the window, by service. */
    readonly demand: () => Readonly<Record<string, number>>;
    /** Second attempts left, by service. */
    readonly left: () => Readonly<Record<string, number>>;
    /** Takes one second attempt; false when none is left. */
    readonly take: (service: string) => boolean;
}
