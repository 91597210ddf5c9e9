import { SnapshotClient } from "@vitest/snapshot";
import { NodeSnapshotEnvironment } from "@vitest/snapshot/environment";
import { isDeepStrictEqual } from "node:util";

/**
 * Compares a transcript with its golden file. Without `GYPSUMSTAGE_UPDATE_GOLDEN=1` a missing or different file is a
 * failure, also outside CI.
 *
 * @param testFile - path of the test, for messages
 * @param goldenFile - path of the golden file
 * @param transcript - what the session gave
 * @throws Error when the transcript differs
 */
export const matchGolden = async (
    testFile: string,
    goldenFile: string,
    transcript: string,
): Promise<void> => {
    const client = new SnapshotClient({ isEqual: isDeepStrictEqual });
    const isUpdate = process.env["GYPSUMSTAGE_UPDATE_GOLDEN"] === "1";
    await client.setup(testFile, {
        snapshotEnvironment: new NodeSnapshotEnvironment(),
        updateSnapshot: isUpdate ? "all" : "none",
    });
    try {
        await client.assertRaw({
            received: transcript,
            filepath: testFile,
            name: goldenFile,
            message: `differs from ${goldenFile}`,
            rawSnapshot: { file: goldenFile },
        });
    }
    finally {
        await client.finish(testFile);
    }
};
