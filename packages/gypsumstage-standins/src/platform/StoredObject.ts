/** An object stored by the stand-in platform. */
export interface StoredObject {
    readonly version: number;
    readonly value: unknown;
}
