/**
 * Returns the key of the immutable object that stores a configuration.
 *
 * @param digest - SHA-256 digest of the configuration's JSON text, in hexadecimal
 * @returns the key in the platform's object store
 */
export const getConfigurationKey = (digest: string): string => `config/parts/${digest}`;
