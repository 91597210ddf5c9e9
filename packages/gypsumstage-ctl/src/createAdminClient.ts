import { describeError } from "@gypsumstage/shared/describeError";
import { failure } from "@gypsumstage/shared/failure";
import { readJsonBody } from "@gypsumstage/shared/readJsonBody";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { Agent, request } from "undici";
import type { AdminClient } from "./AdminClient.js";
import type { CtlError } from "./CtlError.js";

const CONNECT_TIMEOUT_MS = 1_000;
const RESPONSE_HEADERS_TIMEOUT_MS = 20_000;
/** Larger than the status of a fleet at the target size. */
const MAX_RESPONSE_BYTES = 67_108_864;
const STATUS_OK = 200;

const isConnectFailure = (err: unknown): boolean => {
    const { code, syscall } = err as NodeJS.ErrnoException;
    return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT" || code === "ECONNREFUSED";
};

/**
 * Creates a client of the administration API, which tries the addresses in order. After a failed POST, the next address
 * is tried only when the connection could not be established, so that no command is sent twice; a GET is always retried
 * at the next address.
 *
 * @param addresses - administration addresses (`IP:port`) of steer processes
 * @returns the client
 */
export const createAdminClient = (addresses: readonly string[]): AdminClient => {
    const dispatcher = new Agent({
        connect: { timeout: CONNECT_TIMEOUT_MS },
        headersTimeout: RESPONSE_HEADERS_TIMEOUT_MS,
    });
    const callAddress = async <ResponseBody>(
        address: string,
        method: "GET" | "POST",
        path: string,
        body: unknown,
    ): Promise<Result<ResponseBody, CtlError>> => {
        const bodyOptions = body === undefined
            ? {}
            : { headers: { "content-type": "application/json" }, body: JSON.stringify(body) };
        const res = await request(`http://${address}${path}`, { dispatcher, method, ...bodyOptions });
        const json = await readJsonBody(res.body as AsyncIterable<Buffer>, MAX_RESPONSE_BYTES);
        if (!json.ok) {
            throw new Error(json.error.kind);
        }
        const responseBody = json.value as { readonly error?: CtlError; };
        return res.statusCode === STATUS_OK
            ? success(responseBody as ResponseBody)
            : failure(responseBody.error ?? { kind: "request-invalid", reason: `status ${res.statusCode}` });
    };
    const call = async <ResponseBody>(
        method: "GET" | "POST",
        path: string,
        body?: unknown,
    ): Promise<Result<ResponseBody, CtlError>> => {
        let reason = "no address";
        for (const address of addresses) {
            try {
                return await callAddress<ResponseBody>(address, method, path, body);
            }
            catch (err) {
                reason = `${address}: ${describeError(err)}`;
                if (!isConnectFailure(err) && method === "POST") {
                    return failure({ kind: "answer-lost", reason });
                }
            }
        }
        return failure({ kind: "admin-unreachable", reason });
    };
    return { get: path => call("GET", path), post: (path, body) => call("POST", path, body) };
};
