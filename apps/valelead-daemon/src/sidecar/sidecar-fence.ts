/**
 * The fencing number of a sidecar's orders. The sidecar is the only process that orders its engine, as orders come from the engine's own
 * machine; a constant survives its restarts without a disk, and engines that compare numbers take an equal one. It lies above
 * the numbers of leases, so that a sidecar that starts late follows a holder of a lease.
 */
export const SIDECAR_FENCE = 2_147_483_647;
