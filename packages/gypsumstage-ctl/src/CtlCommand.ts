import type { Result } from "@gypsumstage/shared/Result";
import type { AdminClient } from "./AdminClient.js";
import type { CtlError } from "./CtlError.js";
import type { CtlOutput } from "./CtlOutput.js";

/** One command of the operators. */
export type CtlCommand = (client: AdminClient) => Promise<Result<CtlOutput, CtlError>>;
