/** Candidate endpoints of an object in its home: either this region or the other regions together. */
export const HOME_PLACES = 2;
