import type { SystemStatus } from "@gypsumstage/domain/SystemStatus";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { sleep } from "@gypsumstage/shared/sleep";
import { success } from "@gypsumstage/shared/success";
import type { CtlCommand } from "./CtlCommand.js";
import { ExitCode } from "./ExitCode.js";
import { formatStatus } from "./formatStatus.js";

const POLL_INTERVAL_MS = 200;
const MS_PER_SECOND = 1_000;

/**
 * Creates the command that reports whether the intent is in force. It polls until it is, at most for the given wait.
 *
 * @param waitSeconds - maximum wait in seconds; with 0 the status is requested once
 * @returns the command; its exit code is 0 only when the intent is in force
 */
export const statusCommand = (waitSeconds: number): CtlCommand => async client => {
    const deadlineAtMs = monotonicNow() + waitSeconds * MS_PER_SECOND;
    for (;;) {
        const res = await client.get<SystemStatus>("/v1/status");
        const isInForce = res.ok && res.value.verdict === "in-force";
        if (isInForce || monotonicNow() >= deadlineAtMs) {
            const exitCode = isInForce ? ExitCode.done : ExitCode.notInForce;
            return res.ok ? success({ data: res.value, text: formatStatus(res.value), exitCode }) : res;
        }
        await sleep(POLL_INTERVAL_MS);
    }
};
