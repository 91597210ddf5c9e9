import type { SteeringView } from "@gypsumstage/domain/SteeringView";

/** The initial view of a process, before anything was read or received. */
export const EMPTY_VIEW: SteeringView = {
    configuration: undefined,
    members: [],
    membersReadAtMs: undefined,
    records: [],
    plan: undefined,
    planConfirmedAtMs: undefined,
};
