/**
 * Returns the path of a bundle's code cache file, which is beside the bundle.
 *
 * @param bundlePath - path of the bundle
 * @returns the path of the cache file, whether or not it exists
 */
export const getCodeCachePath = (bundlePath: string): string => `${bundlePath}.cache`;
