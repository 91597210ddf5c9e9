/**
 * Returns, for a service, the share (0 to 1) of the objects requested in this region whose primary endpoint is
 * in this region too.
 */
export type LocalPrimaryShares = (service: string) => number;
