/** Arguments of the move command. */
export interface MoveArguments {
    readonly action: string;
    readonly service: string | undefined;
    readonly from: string | undefined;
    readonly to: string | undefined;
    readonly part: number;
}
