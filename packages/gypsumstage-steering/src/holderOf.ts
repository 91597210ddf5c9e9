/**
 * Names an instance in a budget plan: its place and its launch, so that a replacement is another holder.
 *
 * @param name - name of the instance
 * @param launch - its launch
 * @returns the holder's name
 */
export const holderOf = (name: string, launch: string): string => `${name}.${launch}`;
