/** An object of the platform, with the version that conditional writes refer to. */
export interface VersionedObject {
    readonly key: string;
    readonly version: number;
    readonly value: unknown;
}
