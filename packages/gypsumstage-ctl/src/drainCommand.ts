import type { Shortfall } from "@gypsumstage/domain/Shortfall";
import type { SystemStatus } from "@gypsumstage/domain/SystemStatus";
import { failure } from "@gypsumstage/shared/failure";
import { success } from "@gypsumstage/shared/success";
import { createOutput } from "./createOutput.js";
import type { CtlCommand } from "./CtlCommand.js";
import type { DrainArguments } from "./DrainArguments.js";
import { ExitCode } from "./ExitCode.js";
import { formatError } from "./formatError.js";
import { formatTable } from "./formatTable.js";

const describeShortfalls = (shortfalls: readonly Shortfall[]): string =>
    shortfalls.length === 0
        ? "the rest of the system can carry the work"
        : formatError({ kind: "shortfall", shortfalls });

const listDrains: CtlCommand = async client => {
    const res = await client.get<SystemStatus>("/v1/status");
    if (!res.ok) {
        return res;
    }
    const rows = res.value.drains.map(
        drain => [drain.scope, drain.name, drain.state, String(drain.inFlight), drain.unheard.join(",")],
    );
    const text = rows.length === 0
        ? "no drains"
        : formatTable(["DRAIN OF", "NAME", "STATE", "IN FLIGHT", "NOT HEARD OF"], rows);
    return success(createOutput(res.value.drains, text));
};

/**
 * Creates the command that plans, starts or cancels a drain, or lists the drains.
 *
 * @param args - action, scope and name of the drain, and whether it starts despite a shortfall
 * @returns the command; it fails with `request-invalid` when the action is unknown
 */
export const drainCommand = ({ action, scope, name, isForced }: DrainArguments): CtlCommand => {
    const body = { scope, name, isForced };
    switch (action) {
        case "plan":
            return async client => {
                const res = await client.post<{ readonly shortfalls: readonly Shortfall[]; }>(
                    "/v1/drains/plan",
                    body,
                );
                return res.ok
                    ? success({
                        ...createOutput(res.value, describeShortfalls(res.value.shortfalls)),
                        exitCode: res.value.shortfalls.length === 0 ? ExitCode.done : ExitCode.refused,
                    })
                    : res;
            };
        case "start":
            return async client => {
                const res = await client.post<{ readonly generation: number; }>("/v1/drains", body);
                return res.ok
                    ? success(createOutput(res.value, `drain accepted as generation ${res.value.generation}`))
                    : res;
            };
        case "cancel":
            return async client => {
                const res = await client.post<{ readonly generation: number; }>("/v1/drains/cancel", body);
                return res.ok
                    ? success(
                        createOutput(res.value, `drain cancelled as generation ${res.value.generation}`),
                    )
                    : res;
            };
        case "status":
            return listDrains;
        default:
            return async () =>
                failure({
                    kind: "request-invalid",
                    reason: `drain ${action}: allowed are plan, start, status and cancel`,
                });
    }
};
