import type { Script } from "node:vm";

/** A bundled program that is compiled and ready to run. */
export interface CompiledBundle {
    readonly script: Script;
    /** Whether V8 accepted the code cache; false also if there is no cache. */
    readonly isCacheUsed: boolean;
    /** Runs the program as a CommonJS module. */
    readonly run: () => void;
}
