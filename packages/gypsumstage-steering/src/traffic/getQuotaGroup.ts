import { hashText } from "../hashText.js";
import { QUOTA_GROUPS } from "./QUOTA_GROUPS.js";

/**
 * Returns the group of a workspace.
 *
 * @param workspace - name of the workspace
 * @returns number of the group, from 0
 */
export const getQuotaGroup = (workspace: string): number => hashText(workspace) % QUOTA_GROUPS;
