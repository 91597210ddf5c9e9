import { describeError } from "@gypsumstage/shared/describeError";
import { invariant } from "@gypsumstage/shared/invariant";
import { cac } from "cac";
import { createTwoRegionPlan } from "../deployment/createTwoRegionPlan.js";
import type { Deployment } from "../deployment/Deployment.js";
import { startServing } from "../deployment/startServing.js";
import { runDemoSteps } from "./runDemoSteps.js";

const NETWORK = 30;

const writeStderr = (line: string): void => {
    process.stderr.write(`${line}\n`);
};

const describeAddresses = (deployment: Deployment): string => {
    const [first] = deployment.instances;
    invariant(first, "process-failed");
    const rows = deployment.instances.map(each =>
        `  ${each.name}: lookup ${each.lookup}, entry ${each.entry}, administration ${each.steer}, metrics ${each.metrics}`
    );
    return [
        "gypsumstage is up: regions kutch and bharuch with two data centres each.",
        ...rows,
        "",
        "Try:",
        `  curl 'http://${first.lookup}/v1/lookup?service=berth-desk'`,
        `  curl -i http://${first.entry}/berths/7`,
        `  curl http://${first.metrics}/metrics`,
        `  curl http://${first.steer}/v1/status`,
        `  npx gypsumctl status --admin ${first.steer}`,
        `  npx gypsumctl explain GET /berths/7 --admin ${first.steer}`,
        "",
        "Press Ctrl-C to stop it.",
    ].join("\n");
};

const main = async (isOnce: boolean): Promise<void> => {
    const deployment = await startServing(createTwoRegionPlan(NETWORK, false));
    if (isOnce) {
        try {
            process.stdout.write(`${JSON.stringify(await runDemoSteps(deployment))}\n`);
        }
        finally {
            await deployment.stop();
        }
        return;
    }
    writeStderr(describeAddresses(deployment));
    const stop = (): void => {
        void deployment.stop().then(() => process.exit(0));
    };
    process.once("SIGINT", stop);
    process.once("SIGTERM", stop);
};

const cli = cac("gypsumstage-demo");
cli.option("--once", "run the demonstration steps once, print their results as one JSON line and exit");
cli.help();
const { options } = cli.parse();
if (options["help"] !== true) {
    main(options["once"] === true).then(() => {
        if (options["once"] === true) {
            process.exit(0);
        }
    }, (err: unknown) => {
        writeStderr(`the demonstration failed: ${describeError(err)}`);
        process.exit(1);
    });
}
