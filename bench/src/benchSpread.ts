import { invariant } from "@gypsumstage/shared/invariant";
import { sleep } from "@gypsumstage/shared/sleep";
import { applyAndWait } from "@gypsumstage/standins/deployment/applyAndWait";
import type { Deployment } from "@gypsumstage/standins/deployment/Deployment";
import type { DeploymentPlan } from "@gypsumstage/standins/deployment/DeploymentPlan";
import { postAdmin } from "@gypsumstage/standins/deployment/postAdmin";
import { startDeployment } from "@gypsumstage/standins/deployment/startDeployment";
import { waitFor } from "@gypsumstage/standins/deployment/waitFor";
import type { Bench } from "./Bench.js";
import { median } from "./median.js";

const SIZES = [1, 2, 4, 8];
const DATA_CENTRES = 4;
const NETWORK = 64;
const CHANGES = 5;
const TIMEOUT_MS = 20_000;

const createPlan = (perDataCentre: number): DeploymentPlan => {
    const names = Array.from({ length: DATA_CENTRES }, (_none, index) => `r${index % 2}-${index >> 1}`);
    const dataCentres = names.map(name => `[dataCentre ${name}]\nregion = ${name.slice(0, 2)}\n`);
    const places = names.flatMap(name =>
        Array.from(
            { length: perDataCentre },
            (_none, index) => `[place ${name}-${index + 1}]\ndataCentre = ${name}\n`,
        )
    );
    const cls =
        "[service s]\n[class c]\nservice = s\nmethod = GET\npath = /c\nlatencyTarget = 100ms\ndeadline = 1s\nidempotent = yes\nlength = short\n";
    return {
        network: NETWORK,
        isProxied: false,
        regions: ["r0", "r1"].map(region => ({
            name: region,
            dataCentres: names.filter(name => name.startsWith(region)).map(name => ({
                name,
                instances: perDataCentre,
            })),
        })),
        services: [{ name: "s", endpoints: DATA_CENTRES, behaviour: {} }],
        intent: [...dataCentres, ...places, cls].join("\n"),
    };
};

const readGeneration = async (steer: string): Promise<number> =>
    ((await (await fetch(`http://${steer}/v1/intent`)).json()) as { readonly generation: number; })
        .generation;

const measureChange = async (deployment: Deployment, part: number): Promise<number> => {
    const [first] = deployment.instances;
    invariant(first, "process-failed");
    const res = await postAdmin(first.steer, "/v1/moves", { service: "s", from: "r0", to: "r1", part });
    const { generation } = res.answer as { readonly generation: number; };
    const took = await waitFor(async () => {
        const held = await Promise.all(deployment.instances.map(each => readGeneration(each.steer)));
        return held.every(each => each >= generation);
    }, TIMEOUT_MS);
    await postAdmin(first.steer, "/v1/moves/cancel", { service: "s", from: "r0" });
    return took ?? TIMEOUT_MS;
};

/**
 * Measures how long an accepted change takes to reach every steer process when only two instances of a data centre
 * watch the platform, and how many calls the platform gets.
 *
 * @returns one row a number of instances
 */
export const benchSpread: Bench = async () => {
    const rows: {
        readonly instances: number;
        readonly watchesWaiting: number;
        readonly medianMs: number;
        readonly mostMs: number;
    }[] = [];
    for (const size of SIZES) {
        const deployment = await startDeployment(createPlan(size));
        try {
            const [first] = deployment.instances;
            await applyAndWait(first?.steer ?? "", createPlan(size).intent, 30);
            await sleep(5_000);
            const times: number[] = [];
            for (let change = 0; change < CHANGES; change++) {
                times.push(await measureChange(deployment, (change + 1) / 10));
                await sleep(1_500);
            }
            rows.push({
                instances: deployment.instances.length,
                watchesWaiting: deployment.platform.watchesWaiting(),
                medianMs: Math.round(median(times)),
                mostMs: Math.round(Math.max(...times)),
            });
        }
        finally {
            await deployment.stop();
        }
    }
    return { rows, summary: { mostMs: Math.max(...rows.map(row => row.mostMs)) } };
};
