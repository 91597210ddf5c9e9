/** Second number of the loopback addresses of the control benchmark. */
export const CONTROL_NETWORK = 63;
