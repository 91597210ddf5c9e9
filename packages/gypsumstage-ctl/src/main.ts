#!/usr/bin/env node
import { describeError } from "@gypsumstage/shared/describeError";
import { loadSettings } from "@gypsumstage/shared/loadSettings";
import { PRODUCT_VERSION } from "@gypsumstage/shared/PRODUCT_VERSION";
import { cac } from "cac";
import { applyCommand } from "./applyCommand.js";
import { createAdminClient } from "./createAdminClient.js";
import type { CtlCommand } from "./CtlCommand.js";
import { ctlSettingsSchema } from "./ctlSettingsSchema.js";
import { diffCommand } from "./diffCommand.js";
import { drainCommand } from "./drainCommand.js";
import { ExitCode } from "./ExitCode.js";
import { explainCommand } from "./explainCommand.js";
import { formatError } from "./formatError.js";
import { getCommand } from "./getCommand.js";
import { getExitCode } from "./getExitCode.js";
import { moveCommand } from "./moveCommand.js";
import { statusCommand } from "./statusCommand.js";

const printLine = (line: string): void => {
    process.stdout.write(`${line}\n`);
};

const exitWith = (code: number, line: string): never => {
    process.stderr.write(`${line}\n`);
    return process.exit(code);
};

interface CommonOptions {
    readonly config?: string;
    readonly admin?: string;
    readonly json?: boolean;
}

const readAddresses = (options: CommonOptions): readonly string[] => {
    if (options.admin !== undefined) {
        return options.admin.split(",");
    }
    if (options.config === undefined) {
        return exitWith(ExitCode.usage, "gypsumctl: --config FILE or --admin IP:PORT is required");
    }
    const cfg = loadSettings(options.config, ctlSettingsSchema);
    if (!cfg.ok) {
        const lines = cfg.error.kind === "file-unreadable" ? [cfg.error.reason] : cfg.error.problems;
        return exitWith(ExitCode.usage, lines.map(line => `${cfg.error.file}: ${line}`).join("\n"));
    }
    return cfg.value.admin.addresses;
};

const runCommand = async (options: CommonOptions, command: CtlCommand): Promise<void> => {
    const res = await command(createAdminClient(readAddresses(options)));
    if (!res.ok) {
        const text = options.json === true ? JSON.stringify({ error: res.error }) : formatError(res.error);
        exitWith(getExitCode(res.error), text);
        return;
    }
    printLine(options.json === true ? JSON.stringify(res.value.data) : res.value.text);
    process.exit(res.value.exitCode);
};

const cli = cac("gypsumctl");
cli.option("--config <file>", "settings of the command line (INI): [admin] addresses = IP:port, IP:port");
cli.option("--admin <addresses>", "administration addresses, IP:port separated by commas");
cli.option("--check", "check the settings and exit");
cli.option("--json", "print JSON");
cli.command("apply <file>", "put an intent in force")
    .option("--base <generation>", "generation that the change started from")
    .action((file: string, options: CommonOptions & { readonly base?: number; }) =>
        runCommand(options, applyCommand(file, options.base))
    );
cli.command("get", "print the intent in force").action((options: CommonOptions) =>
    runCommand(options, getCommand())
);
cli.command("diff <file>", "compare a file with the intent in force")
    .action((file: string, options: CommonOptions) => runCommand(options, diffCommand(file)));
cli.command("status", "tell whether the intent is in force, by data centre")
    .option("--wait <seconds>", "wait until it is", { default: 0 })
    .action((options: CommonOptions & { readonly wait: number; }) =>
        runCommand(options, statusCommand(options.wait))
    );
cli.command(
    "drain <action> [scope] [name]",
    "plan, start, status or cancel; scope: endpoint, dataCentre or region",
)
    .option("--force", "start although the rest cannot carry the work")
    .action((
        action: string,
        scope: string | undefined,
        name: string | undefined,
        options: CommonOptions & { readonly force?: boolean; },
    ) => runCommand(options, drainCommand({ action, scope, name, isForced: options.force === true })));
cli.command("move <action> [service] [from] [to]", "start, status or cancel")
    .option("--part <part>", "part of the work, above 0 up to 1", { default: 1 })
    .action((
        action: string,
        service: string | undefined,
        from: string | undefined,
        to: string | undefined,
        options: CommonOptions & { readonly part: number; },
    ) => runCommand(options, moveCommand({ action, service, from, to, part: options.part })));
cli.command("explain <method> <path>", "tell where requests of a route go and why")
    .action((method: string, path: string, options: CommonOptions) =>
        runCommand(options, explainCommand(method, path))
    );
cli.command("", "").action((options: CommonOptions & { readonly check?: boolean; }) => {
    if (options.check === true) {
        readAddresses(options);
        printLine("settings are valid");
        return;
    }
    cli.outputHelp();
    process.exit(ExitCode.usage);
});
cli.help();
cli.version(PRODUCT_VERSION);
try {
    cli.parse();
}
catch (err) {
    exitWith(ExitCode.usage, `gypsumctl: ${describeError(err)}`);
}
