/** Returns whether requests are placed by the load that endpoints state, rather than by what instances report. */
export type LoadSourceChoice = () => boolean;
