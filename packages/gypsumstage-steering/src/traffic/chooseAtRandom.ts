/**
 * Chooses items at random, each at most once.
 *
 * @param items - the items
 * @param count - how many to choose
 * @param random - returns a random number from 0 to below 1
 * @returns the chosen items; all of them when there are no more than `count`
 */
export const chooseAtRandom = <Item>(
    items: readonly Item[],
    count: number,
    random: () => number,
): readonly Item[] => {
    const rest = [...items];
    const chosen: Item[] = [];
    while (chosen.length < count && rest.length > 0) {
        chosen.push(...rest.splice(Math.floor(random() * rest.length), 1));
    }
    return chosen;
};
