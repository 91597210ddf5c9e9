/**
 * Names the file that keeps a bundle's compiled code.
 *
 * @param bundle - path of the bundle
 * @returns the path, beside the bundle
 */
export const nameCodeCache = (bundle: string): string => `${bundle}.cache`;
