/** Follows the moves in force and how far each has come. */
export interface MoveRamps {
    /** Region that a request shall go to, when a move takes it. */
    readonly chooseRegion: (service: string) => string | undefined;
    /** Takes notice of how a moved request fared. */
    readonly observe: (service: string, isHealthy: boolean) => void;
    /** Advances all moves by one step when one is due. */
    readonly advance: () => void;
}
