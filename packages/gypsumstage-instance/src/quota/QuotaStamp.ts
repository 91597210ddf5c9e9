/** A time of an issuer's lease clock, by which votes for it are limited. */
export interface QuotaStamp {
    /** The run of the issuer's process. */
    readonly issuerId: string;
    readonly stampMs: number;
}
