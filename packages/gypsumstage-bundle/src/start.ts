import { dirname, join } from "node:path";
import { compileBundle } from "./compileBundle.js";

/** The program's bundle. The build bundles this file too and puts both into one directory. */
const BUNDLE_FILE = "instance.cjs";

// Until the program listens itself: without a listener, a change of the settings during the start ends the process.
process.on("SIGHUP", () => undefined);

const bundle = compileBundle(join(dirname(process.argv[1] ?? ""), BUNDLE_FILE));
if (!bundle.isCacheUsed) {
    process.stderr.write(
        `${BUNDLE_FILE}: no code cache for this version and these flags; starting without\n`,
    );
}
bundle.run();
