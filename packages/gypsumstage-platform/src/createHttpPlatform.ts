import type { Member } from "@gypsumstage/domain/Member";
import { describeError } from "@gypsumstage/shared/describeError";
import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { Agent, type Dispatcher, request } from "undici";
import type { Platform } from "./Platform.js";
import type { PlatformError } from "./PlatformError.js";
import type { VersionedObject } from "./VersionedObject.js";
import type { WriteCondition } from "./WriteCondition.js";

const CALL_TIMEOUT_MS = 2_000;
const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 412;

interface Answer {
    readonly status: number;
    readonly body: unknown;
}

const describeCondition = (condition: WriteCondition): Readonly<Record<string, string>> =>
    condition.kind === "absent" ? { "if-none-match": "*" } : { "if-match": `"${condition.version}"` };

const unexpected = (status: number): PlatformError => ({
    kind: "platform-unreachable",
    reason: `status ${status}`,
});

/**
 * Creates the HTTP adapter of the platform's port.
 *
 * @param address - `IP:port` of the object API
 * @param sourceAddress - IP address that connections come from; undefined leaves it to the system
 * @returns the port
 */
export const createHttpPlatform = (address: string, sourceAddress?: string): Platform => {
    const agent = new Agent({
        connect: { timeout: CALL_TIMEOUT_MS },
        ...(sourceAddress === undefined ? {} : { localAddress: sourceAddress }),
        connections: 4,
    });
    const call = async (
        method: Dispatcher.HttpMethod,
        path: string,
        timeoutMs: number,
        headers: Readonly<Record<string, string>> = {},
        value?: unknown,
    ): Promise<Result<Answer, PlatformError>> => {
        const content = value === undefined
            ? { headers }
            : { headers: { ...headers, "content-type": "application/json" }, body: JSON.stringify(value) };
        try {
            const res = await request(`http://${address}${path}`, {
                dispatcher: agent,
                method,
                ...content,
                signal: AbortSignal.timeout(timeoutMs),
            });
            const text = await res.body.text();
            return success({
                status: res.statusCode,
                body: text === "" ? undefined : JSON.parse(text) as unknown,
            });
        }
        catch (err) {
            return failure({ kind: "platform-unreachable", reason: describeError(err) });
        }
    };
    const pathOf = (key: string): string => `/objects/${encodeURIComponent(key)}`;
    const readObject = (
        res: Result<Answer, PlatformError>,
    ): Result<VersionedObject | undefined, PlatformError> => {
        if (!res.ok) {
            return res;
        }
        if (res.value.status === STATUS_OK) {
            return success(res.value.body as VersionedObject);
        }
        const isAbsent = res.value.status === STATUS_NOT_FOUND || res.value.status === STATUS_NOT_MODIFIED;
        return isAbsent ? success(undefined) : failure(unexpected(res.value.status));
    };
    const readWrite = (key: string, res: Result<Answer, PlatformError>): Result<number, PlatformError> => {
        if (!res.ok) {
            return res;
        }
        if (res.value.status === STATUS_CONFLICT) {
            return failure({ kind: "platform-conflict", key });
        }
        return res.value.status === STATUS_OK
            ? success((res.value.body as { readonly version: number; }).version)
            : failure(unexpected(res.value.status));
    };
    return {
        read: async key => readObject(await call("GET", pathOf(key), CALL_TIMEOUT_MS)),
        write: async (key, value, condition) =>
            readWrite(
                key,
                await call("PUT", pathOf(key), CALL_TIMEOUT_MS, describeCondition(condition), value),
            ),
        watch: async (key, version, waitMs) =>
            readObject(
                await call("GET", `${pathOf(key)}?after=${version}&wait=${waitMs}`, waitMs + CALL_TIMEOUT_MS),
            ),
        list: async prefix => {
            const res = await call("GET", `/objects?prefix=${encodeURIComponent(prefix)}`, CALL_TIMEOUT_MS);
            if (!res.ok) {
                return res;
            }
            return res.value.status === STATUS_OK
                ? success(res.value.body as readonly VersionedObject[])
                : failure(unexpected(res.value.status));
        },
        remove: async (key, version) => {
            const res = await call(
                "DELETE",
                pathOf(key),
                CALL_TIMEOUT_MS,
                describeCondition({ kind: "version", version }),
            );
            const removed = readWrite(key, res);
            return removed.ok ? success(undefined) : removed;
        },
        readMembers: async () => {
            const res = await call("GET", "/members", CALL_TIMEOUT_MS);
            if (!res.ok) {
                return res;
            }
            return res.value.status === STATUS_OK
                ? success(res.value.body as readonly Member[])
                : failure(unexpected(res.value.status));
        },
        close: () => agent.destroy(),
    };
};
