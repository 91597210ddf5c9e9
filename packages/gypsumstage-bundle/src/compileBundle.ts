import { existsSync, readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";
import type { CompiledBundle } from "./CompiledBundle.js";
import { nameCodeCache } from "./nameCodeCache.js";

type ModuleBody = (
    exports: object,
    require: NodeJS.Require,
    module: { readonly exports: object; },
    filename: string,
    directory: string,
) => void;

const SHEBANG = /^#!.*/;

/**
 * Compiles a bundle in the CommonJS format, from its code cache where V8 accepts it. V8 rejects the cache of
 * another version, of other flags or of another source.
 *
 * @param bundle - path of the bundle
 * @returns the compiled bundle
 */
export const compileBundle = (bundle: string): CompiledBundle => {
    const source = readFileSync(bundle, "utf8").replace(SHEBANG, "");
    const wrapped = `(function (exports, require, module, __filename, __dirname) {${source}\n})`;
    const cache = nameCodeCache(bundle);
    const script = existsSync(cache)
        ? new Script(wrapped, { filename: bundle, cachedData: readFileSync(cache) })
        : new Script(wrapped, { filename: bundle });
    return {
        script,
        isCacheUsed: script.cachedDataRejected === false,
        run: () => {
            const body = script.runInThisContext() as ModuleBody;
            const module = { exports: {} };
            body(module.exports, createRequire(bundle), module, bundle, dirname(bundle));
        },
    };
};
