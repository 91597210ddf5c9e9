import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { compileBundle } from "./compileBundle.js";

const BUNDLE = "gypsumstage.cjs";

const bundle = compileBundle(join(dirname(fileURLToPath(import.meta.url)), BUNDLE));
if (!bundle.isCacheUsed) {
    process.stderr.write(`${BUNDLE}: no code cache for this version and these flags; starting without\n`);
}
bundle.run();
