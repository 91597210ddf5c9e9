/** Key of the head of the configuration in the platform. */
export const HEAD_KEY = "config/head";
