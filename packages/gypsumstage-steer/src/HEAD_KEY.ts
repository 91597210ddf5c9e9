/** Key of the configuration head in the platform's object store. */
export const HEAD_KEY = "config/head";
