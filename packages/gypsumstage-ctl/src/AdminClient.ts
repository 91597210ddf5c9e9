import type { Result } from "@gypsumstage/shared/Result";
import type { CtlError } from "./CtlError.js";

/** Calls the administration API. */
export interface AdminClient {
    readonly get: <Answer>(path: string) => Promise<Result<Answer, CtlError>>;
    readonly post: <Answer>(path: string, body: unknown) => Promise<Result<Answer, CtlError>>;
}
