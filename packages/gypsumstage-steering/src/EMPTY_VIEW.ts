import type { SteeringView } from "@gypsumstage/domain/SteeringView";

/** The view of a process that has heard nothing yet. */
export const EMPTY_VIEW: SteeringView = {
    configuration: undefined,
    members: [],
    membersReadAtMs: undefined,
    records: [],
    plan: undefined,
    planConfirmedAtMs: undefined,
};
