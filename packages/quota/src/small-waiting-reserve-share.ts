/**
 * Share of the bucket capacity that is reserved for waiting requests, for teams whose gateways keep large stocks. It holds one request of
 * 9,400 tokens in a bucket of 65,000, which is the smallest with a slack of 72,000. Stocks of a team that uses much are returned anyway.
 */
export const SMALL_WAITING_RESERVE_SHARE = 0.15;
