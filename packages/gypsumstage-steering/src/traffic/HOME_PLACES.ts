/** Places of an object on the side that is its home. */
export const HOME_PLACES = 2;
