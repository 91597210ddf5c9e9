/**
 * Returns the name by which budget plans and exchange requests identify one launch of an instance; a replacement of
 * the instance has another name.
 *
 * @param name - name of the instance, which is also the name of its place
 * @param launch - launch of the instance
 * @returns the name, `INSTANCE.LAUNCH`
 */
export const getHolderName = (name: string, launch: string): string => `${name}.${launch}`;
