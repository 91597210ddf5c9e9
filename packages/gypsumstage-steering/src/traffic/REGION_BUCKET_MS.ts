/** Length of a time bucket in which placements are counted by region, in milliseconds. */
export const REGION_BUCKET_MS = 250;
