import type { Workspace } from "@gypsumstage/domain/traffic/Workspace";
import type { UsageDecision } from "./UsageDecision.js";

/** Usage caps of workspaces, which hold over all instances together. */
export interface UsageCaps {
    /**
     * Takes the permit for one attempt, immediately before it is sent. Granted without a wait where the workspace has no cap
     * or a permit is at hand; the promise never rejects.
     */
    readonly take: (workspace: Workspace | undefined) => UsageDecision | Promise<UsageDecision>;
}
