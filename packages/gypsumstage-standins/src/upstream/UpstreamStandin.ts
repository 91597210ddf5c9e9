import type { UpstreamBehaviour } from "./UpstreamBehaviour.js";
import type { UpstreamRecord } from "./UpstreamRecord.js";

/** A running stand-in endpoint. */
export interface UpstreamStandin {
    readonly name: string;
    readonly address: string;
    /** Changes the given properties of the behaviour; the others keep their values. */
    readonly setBehaviour: (behaviour: Partial<UpstreamBehaviour>) => void;
    readonly record: () => UpstreamRecord;
    readonly stop: () => Promise<void>;
}
