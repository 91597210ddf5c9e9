import type { Result } from "@gypsumstage/shared/Result";
import type { AdminClient } from "./AdminClient.js";
import type { CtlError } from "./CtlError.js";
import type { CtlOutput } from "./CtlOutput.js";

/** A command of `gypsumctl`, run with a client of the administration API. */
export type CtlCommand = (client: AdminClient) => Promise<Result<CtlOutput, CtlError>>;
