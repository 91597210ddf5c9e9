/** Arguments of `gypsumctl move`. */
export interface MoveArguments {
    readonly action: string;
    readonly service: string | undefined;
    readonly from: string | undefined;
    readonly to: string | undefined;
    /** Fraction of the service's load to move, above 0 up to 1. */
    readonly part: number;
}
