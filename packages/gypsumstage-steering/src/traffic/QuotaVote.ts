/** The part of all usage caps that one instance lends to an issuer for a time. */
export interface QuotaVote {
    /** Name of the instance. */
    readonly voter: string;
    /** The run of the issuer's process to which it is lent; no other one may count it. */
    readonly issuerId: string;
    /** Latest time of the issuer's lease clock that the instance had received. */
    readonly stampMs: number;
    /** The part, 0 to 1: one divided by the number of instances that the voter counts. */
    readonly unit: number;
}
