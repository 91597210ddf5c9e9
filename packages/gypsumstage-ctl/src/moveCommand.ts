import type { SystemStatus } from "@gypsumstage/domain/SystemStatus";
import { failure } from "@gypsumstage/shared/failure";
import { success } from "@gypsumstage/shared/success";
import { createOutput } from "./createOutput.js";
import type { CtlCommand } from "./CtlCommand.js";
import { formatTable } from "./formatTable.js";
import type { MoveArguments } from "./MoveArguments.js";

const listMoves: CtlCommand = async client => {
    const res = await client.get<SystemStatus>("/v1/status");
    if (!res.ok) {
        return res;
    }
    const rows = res.value.moves.map(move => [move.service, move.from, move.to, String(move.part)]);
    const text = rows.length === 0 ? "no moves" : formatTable(["MOVE OF", "FROM", "TO", "PART"], rows);
    return success(createOutput(res.value.moves, text));
};

/**
 * Creates the command that starts or cancels a move, or lists the moves.
 *
 * @param args - action, service, regions and part of the move
 * @returns the command; it fails with `request-invalid` when the action is unknown
 */
export const moveCommand = ({ action, service, from, to, part }: MoveArguments): CtlCommand => {
    switch (action) {
        case "start":
            return async client => {
                const res = await client.post<{ readonly generation: number; }>("/v1/moves", {
                    service,
                    from,
                    to,
                    part,
                });
                return res.ok
                    ? success(createOutput(res.value, `move accepted as generation ${res.value.generation}`))
                    : res;
            };
        case "cancel":
            return async client => {
                const res = await client.post<{ readonly generation: number; }>("/v1/moves/cancel", {
                    service,
                    from,
                });
                return res.ok
                    ? success(createOutput(res.value, `move cancelled as generation ${res.value.generation}`))
                    : res;
            };
        case "status":
            return listMoves;
        default:
            return async () =>
                failure({
                    kind: "request-invalid",
                    reason: `move ${action}: allowed are start, status and cancel`,
                });
    }
};
