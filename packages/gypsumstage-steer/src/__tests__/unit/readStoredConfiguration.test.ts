import type { Platform } from "@gypsumstage/platform/Platform";
import type { PlatformError } from "@gypsumstage/platform/PlatformError";
import type { VersionedObject } from "@gypsumstage/platform/VersionedObject";
import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import assert from "node:assert/strict";
import { test } from "node:test";
import { getConfigurationKey } from "../../getConfigurationKey.js";
import { readStoredConfiguration } from "../../readStoredConfiguration.js";

const DIGEST = "d1";

const createPlatform = (result: Result<VersionedObject | undefined, PlatformError>): Platform =>
    ({ read: () => Promise.resolve(result) }) as Partial<Platform> as Platform;

const readError = async (result: Result<VersionedObject | undefined, PlatformError>): Promise<unknown> => {
    const read = await readStoredConfiguration(createPlatform(result), DIGEST);
    return read.ok ? undefined : read.error;
};

test("a configuration that is missing or does not match its digest is not reported as an unreachable platform", async () => {
    const invalid = { kind: "platform-object-invalid", key: getConfigurationKey(DIGEST) };
    const damaged = { key: getConfigurationKey(DIGEST), version: 1, value: { generation: 3 } };
    assert.deepEqual(await readError(success(undefined)), invalid);
    assert.deepEqual(await readError(success(damaged)), invalid);
});

test("an unreachable platform is reported as such", async () => {
    const unreachable: PlatformError = { kind: "platform-unreachable", reason: "timeout" };
    assert.deepEqual(await readError(failure(unreachable)), unreachable);
});
