import { rmSync, writeFileSync } from "node:fs";
import { compileBundle } from "./compileBundle.js";
import { nameCodeCache } from "./nameCodeCache.js";

/**
 * Runs a bundle and keeps what V8 has compiled of it, functions that the run used included.
 *
 * @param bundle - path of the bundle
 * @param use - exercises the running program; the cache is written when it is done
 */
export const writeCodeCache = async (bundle: string, use: () => Promise<void>): Promise<void> => {
    const cache = nameCodeCache(bundle);
    rmSync(cache, { force: true });
    const { script, run } = compileBundle(bundle);
    run();
    await use();
    writeFileSync(cache, script.createCachedData());
};
