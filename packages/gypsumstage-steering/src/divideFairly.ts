/**
 * Divides an amount by max-min fairness: no share exceeds its demand while another demand is unmet. What remains
 * beyond all demands is divided evenly, as headroom.
 *
 * @param amount - the total to divide
 * @param demands - the demands, in the unit of the amount
 * @returns the shares, in the order of the demands; they add up to the amount
 */
export const divideFairly = (amount: number, demands: readonly number[]): readonly number[] => {
    const shares = demands.map(() => 0);
    const order = demands.map((demand, index) => ({ demand, index })).sort((left, right) =>
        left.demand - right.demand
    );
    let remaining = amount;
    order.forEach(({ demand, index }, position) => {
        const evenShare = remaining / (order.length - position);
        const share = Math.min(Math.max(0, demand), evenShare);
        shares[index] = share;
        remaining -= share;
    });
    return shares.map(share => share + remaining / Math.max(1, shares.length));
};
