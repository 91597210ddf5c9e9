/** Arguments of `gypsumctl drain`. */
export interface DrainArguments {
    readonly action: string;
    readonly scope: string | undefined;
    readonly name: string | undefined;
    /** Whether the drain starts despite a shortfall. */
    readonly isForced: boolean;
}
