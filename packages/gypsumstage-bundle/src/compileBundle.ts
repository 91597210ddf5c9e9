import { existsSync, readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";
import type { CompiledBundle } from "./CompiledBundle.js";
import { getCodeCachePath } from "./getCodeCachePath.js";

/** The function in which a CommonJS module's source is wrapped. */
type ModuleWrapper = (
    exports: object,
    require: NodeJS.Require,
    module: { readonly exports: object; },
    filename: string,
    directory: string,
) => void;

/**
 * Name of the bundle in stack traces. It names no file: for the message of a failed assertion Node.js reads the file of the call and
 * parses all of it, which takes seconds for a bundle.
 */
const SCRIPT_NAME = "bundle:program";

const SHEBANG = /^#!.*/;

/**
 * Compiles a CommonJS bundle, using its code cache if there is one and V8 accepts it. V8 rejects a cache that was
 * written by another V8 version, with other V8 flags or for another source; the bundle is then compiled from source.
 *
 * @param bundlePath - path of the bundle
 * @returns the compiled bundle, not yet run
 */
export const compileBundle = (bundlePath: string): CompiledBundle => {
    const source = readFileSync(bundlePath, "utf8").replace(SHEBANG, "");
    const wrappedSource = `(function (exports, require, module, __filename, __dirname) {${source}\n})`;
    const cachePath = getCodeCachePath(bundlePath);
    const script = existsSync(cachePath)
        ? new Script(wrappedSource, { filename: SCRIPT_NAME, cachedData: readFileSync(cachePath) })
        : new Script(wrappedSource, { filename: SCRIPT_NAME });
    return {
        script,
        isCacheUsed: script.cachedDataRejected === false,
        run: () => {
            const runWrapper = script.runInThisContext() as ModuleWrapper;
            const module = { exports: {} };
            runWrapper(module.exports, createRequire(bundlePath), module, bundlePath, dirname(bundlePath));
        },
    };
};
