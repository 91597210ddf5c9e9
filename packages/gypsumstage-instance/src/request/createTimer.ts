/**
 * Starts a timer that can be cancelled.
 *
 * @param delayMs - the delay in milliseconds; a negative one counts as 0
 * @param value - the value to which `fired` resolves
 * @returns `fired`, which resolves after the delay, or never if `cancel` is called before; and `cancel`
 */
export const createTimer = <Value>(
    delayMs: number,
    value: Value,
): { readonly fired: Promise<Value>; readonly cancel: () => void; } => {
    let timer: NodeJS.Timeout | undefined;
    const fired = new Promise<Value>(resolve => {
        timer = setTimeout(() => resolve(value), Math.max(0, delayMs));
    });
    return { fired, cancel: () => clearTimeout(timer) };
};
