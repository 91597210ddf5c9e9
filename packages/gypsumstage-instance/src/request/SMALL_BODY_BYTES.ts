/** Size up to which a body counts as small. */
export const SMALL_BODY_BYTES = 1_048_576;
