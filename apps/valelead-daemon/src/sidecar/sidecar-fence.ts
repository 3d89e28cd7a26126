/**
 * The fencing token of a sidecar's orders. A sidecar is the only process that sends orders from the engine's own machine, so the token can be
 * constant: it survives restarts without a disk, and engines that compare tokens accept an equal one. It is higher than the tokens of all
 * leases, so that the engine accepts a sidecar that starts late, after a lease holder has sent orders.
 */
export const SIDECAR_FENCE = 2_147_483_647;
