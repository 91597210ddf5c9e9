/** Second octet of the loopback addresses that the control benchmark uses. */
export const CONTROL_NETWORK = 63;
