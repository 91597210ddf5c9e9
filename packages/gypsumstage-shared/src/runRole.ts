import { cac } from "cac";
import { createLog } from "./createLog.js";
import { describeError } from "./describeError.js";
import type { InstanceSettings } from "./InstanceSettings.js";
import { instanceSettingsSchema } from "./instanceSettingsSchema.js";
import { loadSettings } from "./loadSettings.js";
import type { Log } from "./Log.js";
import { PRODUCT_VERSION } from "./PRODUCT_VERSION.js";

const EXIT_FAILURE = 1;
const EXIT_INVALID_SETTINGS = 2;

const writeStderr = (line: string): void => {
    process.stderr.write(`${line}\n`);
};

const readSettings = (file: string): InstanceSettings => {
    const loaded = loadSettings(file, instanceSettingsSchema);
    if (loaded.ok) {
        return loaded.value;
    }
    if (loaded.error.kind === "file-unreadable") {
        writeStderr(`${file}: ${loaded.error.reason}`);
    }
    else {
        loaded.error.problems.forEach(problem => writeStderr(`${file}: ${problem}`));
    }
    return process.exit(EXIT_INVALID_SETTINGS);
};

/**
 * Runs a role as a process: parses the command line, loads the settings and, if all of them are valid, starts
 * the role. SIGTERM or SIGINT shuts it down gracefully; a second signal ends the process immediately.
 *
 * @param name - name of the program; also the role in log entries
 * @param start - starts the role; returns a function that shuts it down
 */
export const runRole = (
    name: string,
    start: (cfg: InstanceSettings, log: Log) => Promise<() => Promise<void>>,
): void => {
    const cli = cac(name);
    cli.option("--config <file>", "settings of this instance (INI)");
    cli.option("--check", "check the settings and exit");
    cli.help();
    cli.version(PRODUCT_VERSION);
    const { options } = cli.parse();
    if (options["help"] === true || options["version"] === true) {
        return;
    }
    if (typeof options["config"] !== "string") {
        writeStderr(`${name}: --config FILE is required`);
        process.exit(EXIT_INVALID_SETTINGS);
    }
    const cfg = readSettings(options["config"]);
    if (options["check"] === true) {
        writeStderr(`${options["config"]}: settings are valid`);
        return;
    }
    const log = createLog(
        { role: name, instance: cfg.instance.name, dataCentre: cfg.instance.dataCentre },
        cfg.log.level,
    );
    process.on("uncaughtException", err => {
        log("error", "uncaught-exception", { reason: describeError(err), stack: err.stack });
    });
    process.on("unhandledRejection", err => {
        log("error", "unhandled-rejection", { reason: describeError(err) });
    });
    start(cfg, log).then(stop => {
        log("info", "started", { launch: cfg.instance.launch });
        let isStopping = false;
        const onSignal = (): void => {
            if (isStopping) {
                log("warn", "stopped-at-once");
                process.exit(EXIT_FAILURE);
            }
            isStopping = true;
            log("info", "stopping");
            stop().then(() => {
                log("info", "stopped");
                process.exit(0);
            }, (err: unknown) => {
                log("error", "stop-failed", { reason: describeError(err) });
                process.exit(EXIT_FAILURE);
            });
        };
        process.on("SIGTERM", onSignal);
        process.on("SIGINT", onSignal);
    }, (err: unknown) => {
        log("error", "start-failed", { reason: describeError(err) });
        process.exit(EXIT_FAILURE);
    });
};
