/** An object of the platform with the version that a conditional update names. */
export interface VersionedObject {
    readonly key: string;
    readonly version: number;
    readonly value: unknown;
}
