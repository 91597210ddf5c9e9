import { dirname, join } from "node:path";
import { compileBundle } from "./compileBundle.js";

/** The program, beside this file once that is bundled itself. */
const BUNDLE = "instance.cjs";

const bundle = compileBundle(join(dirname(process.argv[1] ?? ""), BUNDLE));
if (!bundle.isCacheUsed) {
    process.stderr.write(`${BUNDLE}: no code cache for this version and these flags; starting without\n`);
}
bundle.run();
