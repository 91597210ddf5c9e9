/**
 * Number of candidate endpoints of an object on its primary side. The two sides are this region and all other regions
 * together; the primary side is the one with the object's primary endpoint.
 */
export const PRIMARY_SIDE_CANDIDATES = 2;
