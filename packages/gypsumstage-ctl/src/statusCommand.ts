import type { SystemStatus } from "@gypsumstage/domain/SystemStatus";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { sleep } from "@gypsumstage/shared/sleep";
import { success } from "@gypsumstage/shared/success";
import type { CtlCommand } from "./CtlCommand.js";
import { ExitCode } from "./ExitCode.js";
import { formatStatus } from "./formatStatus.js";

const POLL_MS = 200;
const MS_PER_SECOND = 1_000;

/**
 * Makes the command that tells whether the intent is in force.
 *
 * @param waitSeconds - how long to wait until it is
 * @returns the command
 */
export const statusCommand = (waitSeconds: number): CtlCommand => async client => {
    const untilMs = monotonicNow() + waitSeconds * MS_PER_SECOND;
    for (;;) {
        const res = await client.get<SystemStatus>("/v1/status");
        const isInForce = res.ok && res.value.verdict === "in-force";
        if (isInForce || monotonicNow() >= untilMs) {
            const exitCode = isInForce ? ExitCode.done : ExitCode.notInForce;
            return res.ok ? success({ data: res.value, text: formatStatus(res.value), exitCode }) : res;
        }
        await sleep(POLL_MS);
    }
};
