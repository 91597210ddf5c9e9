import type { Result } from "@gypsumstage/shared/Result";
import type { CtlError } from "./CtlError.js";

/** Client of the administration API; failures are returned, not thrown. */
export interface AdminClient {
    readonly get: <ResponseBody>(path: string) => Promise<Result<ResponseBody, CtlError>>;
    readonly post: <ResponseBody>(path: string, body: unknown) => Promise<Result<ResponseBody, CtlError>>;
}
