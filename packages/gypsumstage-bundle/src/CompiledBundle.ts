import type { Script } from "node:vm";

/** A bundled program, ready to run. */
export interface CompiledBundle {
    readonly script: Script;
    /** Whether V8 took the kept code; false also when there is none. */
    readonly isCacheUsed: boolean;
    /** Runs the program as a CommonJS module. */
    readonly run: () => void;
}
