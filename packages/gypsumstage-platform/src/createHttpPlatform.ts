import type { Member } from "@gypsumstage/domain/Member";
import { describeError } from "@gypsumstage/shared/describeError";
import { failure } from "@gypsumstage/shared/failure";
import { readJsonBody } from "@gypsumstage/shared/readJsonBody";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { Agent, type Dispatcher, request } from "undici";
import type { Platform } from "./Platform.js";
import type { PlatformError } from "./PlatformError.js";
import type { VersionedObject } from "./VersionedObject.js";
import type { WriteCondition } from "./WriteCondition.js";

const REQUEST_TIMEOUT_MS = 2_000;
/** Idle connections may go silent without a sign, so they are kept only for calls in quick succession. */
const KEEP_ALIVE_TIMEOUT_MS = 1_000;
/** Several times the largest object. */
const MAX_RESPONSE_BYTES = 16_777_216;
const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;
const STATUS_NOT_FOUND = 404;
const STATUS_PRECONDITION_FAILED = 412;

interface HttpResponse {
    readonly status: number;
    readonly body: unknown;
}

const createConditionHeaders = (condition: WriteCondition): Readonly<Record<string, string>> =>
    condition.kind === "absent" ? { "if-none-match": "*" } : { "if-match": `"${condition.version}"` };

const createStatusError = (status: number): PlatformError => ({
    kind: "platform-unreachable",
    reason: `status ${status}`,
});

/**
 * Creates a client of the platform's HTTP API.
 *
 * @param address - `IP:port` of the API
 * @param sourceAddress - local IP address of the connections; chosen by the operating system if undefined
 * @returns the client; the caller must close it
 */
export const createHttpPlatform = (address: string, sourceAddress?: string): Platform => {
    const agent = new Agent({
        connect: { timeout: REQUEST_TIMEOUT_MS },
        ...(sourceAddress === undefined ? {} : { localAddress: sourceAddress }),
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        // Otherwise the platform's own, longer timeout replaces that of the client.
        keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
        connections: 4,
    });
    const sendRequest = async (
        method: Dispatcher.HttpMethod,
        path: string,
        timeoutMs: number,
        headers: Readonly<Record<string, string>> = {},
        value?: unknown,
    ): Promise<Result<HttpResponse, PlatformError>> => {
        const requestOptions = value === undefined
            ? { headers }
            : { headers: { ...headers, "content-type": "application/json" }, body: JSON.stringify(value) };
        try {
            const res = await request(`http://${address}${path}`, {
                dispatcher: agent,
                method,
                ...requestOptions,
                signal: AbortSignal.timeout(timeoutMs),
            });
            const json = await readJsonBody(res.body as AsyncIterable<Buffer>, MAX_RESPONSE_BYTES);
            return json.ok
                ? success({ status: res.statusCode, body: json.value })
                : failure({ kind: "platform-unreachable", reason: json.error.kind });
        }
        catch (err) {
            return failure({ kind: "platform-unreachable", reason: describeError(err) });
        }
    };
    const getObjectPath = (key: string): string => `/objects/${encodeURIComponent(key)}`;
    const decodeObject = (
        res: Result<HttpResponse, PlatformError>,
    ): Result<VersionedObject | undefined, PlatformError> => {
        if (!res.ok) {
            return res;
        }
        if (res.value.status === STATUS_OK) {
            return success(res.value.body as VersionedObject);
        }
        const isAbsent = res.value.status === STATUS_NOT_FOUND || res.value.status === STATUS_NOT_MODIFIED;
        return isAbsent ? success(undefined) : failure(createStatusError(res.value.status));
    };
    const decodeWrittenVersion = (
        key: string,
        res: Result<HttpResponse, PlatformError>,
    ): Result<number, PlatformError> => {
        if (!res.ok) {
            return res;
        }
        if (res.value.status === STATUS_PRECONDITION_FAILED) {
            return failure({ kind: "platform-conflict", key });
        }
        return res.value.status === STATUS_OK
            ? success((res.value.body as { readonly version: number; }).version)
            : failure(createStatusError(res.value.status));
    };
    return {
        read: async key => decodeObject(await sendRequest("GET", getObjectPath(key), REQUEST_TIMEOUT_MS)),
        write: async (key, value, condition) =>
            decodeWrittenVersion(
                key,
                await sendRequest(
                    "PUT",
                    getObjectPath(key),
                    REQUEST_TIMEOUT_MS,
                    createConditionHeaders(condition),
                    value,
                ),
            ),
        watch: async (key, version, waitMs) =>
            decodeObject(
                await sendRequest(
                    "GET",
                    `${getObjectPath(key)}?after=${version}&wait=${waitMs}`,
                    waitMs + REQUEST_TIMEOUT_MS,
                ),
            ),
        list: async prefix => {
            const res = await sendRequest(
                "GET",
                `/objects?prefix=${encodeURIComponent(prefix)}`,
                REQUEST_TIMEOUT_MS,
            );
            if (!res.ok) {
                return res;
            }
            return res.value.status === STATUS_OK
                ? success(res.value.body as readonly VersionedObject[])
                : failure(createStatusError(res.value.status));
        },
        remove: async (key, version) => {
            const res = await sendRequest(
                "DELETE",
                getObjectPath(key),
                REQUEST_TIMEOUT_MS,
                createConditionHeaders({ kind: "version", version }),
            );
            const removed = decodeWrittenVersion(key, res);
            return removed.ok ? success(undefined) : removed;
        },
        readMembers: async () => {
            const res = await sendRequest("GET", "/members", REQUEST_TIMEOUT_MS);
            if (!res.ok) {
                return res;
            }
            return res.value.status === STATUS_OK
                ? success(res.value.body as readonly Member[])
                : failure(createStatusError(res.value.status));
        },
        close: () => agent.destroy(),
    };
};
