/**
 * Divides an amount by demand: nobody gets more than it wants while another wants more (max-min fairness).
 * What nobody wants is divided evenly, as headroom.
 *
 * @param amount - what there is
 * @param demands - what each one wants
 * @returns the parts, in the order of the demands; their sum is the amount
 */
export const divideFairly = (amount: number, demands: readonly number[]): readonly number[] => {
    const parts = demands.map(() => 0);
    const order = demands.map((demand, index) => ({ demand, index })).sort((left, right) =>
        left.demand - right.demand
    );
    let rest = amount;
    order.forEach(({ demand, index }, position) => {
        const even = rest / (order.length - position);
        const part = Math.min(Math.max(0, demand), even);
        parts[index] = part;
        rest -= part;
    });
    return parts.map(part => part + rest / Math.max(1, parts.length));
};
