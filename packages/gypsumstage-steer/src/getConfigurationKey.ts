/**
 * Names the immutable object that holds one configuration.
 *
 * @param digest - SHA-256 of its JSON text
 * @returns its key in the platform
 */
export const getConfigurationKey = (digest: string): string => `config/parts/${digest}`;
