import type { Drain } from "./Drain.js";
import type { Intent } from "./Intent.js";
import type { Move } from "./Move.js";

/** An accepted configuration. A process never replaces it with one of a lower generation. */
export interface Configuration {
    readonly generation: number;
    readonly intent: Intent;
    readonly drains: readonly Drain[];
    readonly moves: readonly Move[];
}
