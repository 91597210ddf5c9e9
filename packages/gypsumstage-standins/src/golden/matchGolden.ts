import { SnapshotClient } from "@vitest/snapshot";
import { NodeSnapshotEnvironment } from "@vitest/snapshot/environment";
import { isDeepStrictEqual } from "node:util";

/**
 * Compares a transcript with its golden file. A missing or different file is an error, also outside CI. With
 * `GYPSUMSTAGE_UPDATE_GOLDEN=1` the transcript is written to the file instead.
 *
 * @param testFile - path of the test file, for messages
 * @param goldenFile - path of the golden file
 * @param transcript - text of the session, masked by `maskVariables`
 * @throws Error when the transcript differs or the golden file is missing
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
