import type { RequestClass } from "@gypsumstage/domain/RequestClass";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";

/** Input of `choosePeer`, for a request that the entry's own data centre cannot serve. */
export interface PeerChoiceInput {
    readonly view: SteeringView;
    readonly service: string;
    /** Long work needs free slots on endpoints that run long work. */
    readonly length: RequestClass["length"];
    readonly self: { readonly name: string; readonly dataCentre: string; readonly region: string; };
    /** Target region of the move that applies to this request, if any. */
    readonly preferredRegion: string | undefined;
    /** Names of the instances to which this request was already forwarded. */
    readonly tried: ReadonlySet<string>;
    readonly nowMs: number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}
