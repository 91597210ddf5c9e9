const MIN_STATUS = 100;
const MAX_STATUS = 599;

/**
 * Returns whether a status may occur in an HTTP response. Parsers accept any three digits.
 *
 * @param status - the status
 * @returns true for 100 to 599
 */
export const isHttpStatus = (status: number): boolean => status >= MIN_STATUS && status <= MAX_STATUS;
