/** Time until the load balancer stops opening connections, in milliseconds: it checks readiness each second and tolerates two failures. */
export const BALANCER_DRAIN_MS = 2500;
