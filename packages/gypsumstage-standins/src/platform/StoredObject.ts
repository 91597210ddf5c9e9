/** An object of the stand-in platform. */
export interface StoredObject {
    readonly version: number;
    readonly value: unknown;
}
