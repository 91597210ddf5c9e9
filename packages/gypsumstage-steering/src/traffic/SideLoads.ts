/** Requests running and waiting per slot, as endpoints stated them, on the two sides: this region and the other regions. */
export interface SideLoads {
    readonly local: number;
    readonly elsewhere: number;
}
