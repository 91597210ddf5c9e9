/** Endpoints that a request may end before it is refused; the platform allows three, and some retries beyond. */
export const ENDS_UNTIL_OPEN = 3;
