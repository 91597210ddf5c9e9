/**
 * Returns the key of an instance in a budget plan. It contains the launch, so that a replacement is another holder.
 *
 * @param name - name of the instance, which is also the name of its place
 * @param launch - launch of the instance
 * @returns the name of the holder
 */
export const getHolderName = (name: string, launch: string): string => `${name}.${launch}`;
