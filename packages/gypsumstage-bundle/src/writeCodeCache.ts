import { rmSync, writeFileSync } from "node:fs";
import { compileBundle } from "./compileBundle.js";
import { getCodeCachePath } from "./getCodeCachePath.js";

/**
 * Runs a bundle and writes its V8 code cache. V8 compiles functions lazily, on their first call, so the cache also
 * holds the functions that were called during the run.
 *
 * @param bundlePath - path of the bundle; the cache file is written beside it and replaces an earlier one
 * @param warmUp - exercises the running program; the cache is written when its promise resolves
 */
export const writeCodeCache = async (bundlePath: string, warmUp: () => Promise<void>): Promise<void> => {
    const cachePath = getCodeCachePath(bundlePath);
    rmSync(cachePath, { force: true });
    const { script, run } = compileBundle(bundlePath);
    run();
    await warmUp();
    writeFileSync(cachePath, script.createCachedData());
};
