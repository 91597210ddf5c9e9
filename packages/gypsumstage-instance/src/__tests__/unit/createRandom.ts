/**
 * Creates a source of pseudo-random numbers, so that a model runs in the same way each time.
 *
 * @param seed - determines the numbers
 * @returns the function that returns the next number, from 0 up to 1
 */
export const createRandom = (seed: number): () => number => {
    let state = seed;
    return () => {
        state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
        return state / 2 ** 31;
    };
};
