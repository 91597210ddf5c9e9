import type { Drain } from "./Drain.js";
import type { Intent } from "./Intent.js";
import type { Move } from "./Move.js";

/** One accepted configuration. A process never replaces it by one of a lower generation. */
export interface Configuration {
    readonly generation: number;
    readonly intent: Intent;
    readonly drains: readonly Drain[];
    readonly moves: readonly Move[];
}
