import type { SystemStatus } from "@gypsumstage/domain/SystemStatus";
import { invariant } from "@gypsumstage/shared/invariant";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { CallerResult } from "../caller/CallerResult.js";
import { createCaller } from "../caller/createCaller.js";
import type { Deployment } from "../deployment/Deployment.js";
import { runCtl } from "../deployment/runCtl.js";

const IN_FORCE_TIMEOUT_SECONDS = 15;

const runCtlOrThrow = async (args: readonly string[]): Promise<string> => {
    const run = await runCtl(args);
    if (run.exitCode !== 0) {
        throw new Error(`gypsumctl ${args[0] ?? ""} exited with code ${run.exitCode}: ${run.stderr}`);
    }
    return run.stdout;
};

const changeLatencyTarget = async (admin: string): Promise<unknown> => {
    const directory = mkdtempSync(join(tmpdir(), "gypsumstage-intent-"));
    try {
        const file = join(directory, "intent.ini");
        const intent = await runCtlOrThrow(["get", "--admin", admin]);
        writeFileSync(file, intent.replace("latencyTarget = 150ms", "latencyTarget = 140ms"));
        await runCtlOrThrow(["apply", file, "--admin", admin]);
        const status = await runCtlOrThrow([
            "status",
            "--wait",
            String(IN_FORCE_TIMEOUT_SECONDS),
            "--json",
            "--admin",
            admin,
        ]);
        return JSON.parse(status);
    }
    finally {
        rmSync(directory, { recursive: true });
    }
};

const assertServed = (step: string, { outcome, status, body }: CallerResult): void => {
    if (outcome !== "served") {
        throw new Error(`${step} was not served: ${outcome} ${status} ${body}`);
    }
};

/**
 * Runs the steps of the demonstration: a lookup, a slot check, a confirmation with an idempotency key, and a change
 * of a latency target.
 *
 * @param deployment - the running deployment
 * @returns the result of each step
 * @throws Error when a request is not served or `gypsumctl` fails
 */
export const runDemoSteps = async (deployment: Deployment): Promise<Readonly<Record<string, unknown>>> => {
    const [first] = deployment.instances;
    invariant(first, "process-failed");
    const caller = createCaller(deployment.instances.map(instance => instance.lookup));
    try {
        const lookup = await caller.lookup("berth-desk");
        const slotCheck = await caller.send({
            service: "berth-desk",
            method: "GET",
            path: "/berths/7",
            id: "demo-1",
            maxAttempts: 5,
        });
        const confirmation = await caller.send({
            service: "booking-ledger",
            method: "POST",
            path: "/confirmations",
            id: "demo-2",
            isKeyed: true,
            body: JSON.stringify({ barge: "GJ-1204", berth: 7 }),
            maxAttempts: 5,
        });
        const status = await changeLatencyTarget(first.steer) as SystemStatus;
        const summarize = ({ outcome, status: code, body }: CallerResult): unknown => ({
            outcome,
            status: code,
            body: JSON.parse(body) as unknown,
        });
        assertServed("the slot check", slotCheck);
        assertServed("the confirmation", confirmation);
        return {
            lookup,
            slotCheck: summarize(slotCheck),
            confirmation: summarize(confirmation),
            inForce: { generation: status.accepted, verdict: status.verdict },
        };
    }
    finally {
        await caller.stop();
    }
};
