//! Protocol constants that several modules share. They are not settings: all members of a fleet use the same values.

/// Weight of the latest probe in the moving average of acknowledged probes: about the last five count.
pub(crate) const ACK_RATIO_WEIGHT: f64 = 0.2;
/// Below this share of acknowledged probes, the local member's own outgoing link may be at fault.
pub(crate) const MIN_ACK_RATIO: f64 = 0.5;
/// Bytes of the send budget that updates leave for probes and acks: a little more than one datagram.
pub(crate) const RESERVED_BYTES: u64 = 300;
/// Members that get a ping request when a direct probe was not acknowledged.
pub(crate) const INDIRECT_PROBE_MEMBERS: usize = 3;
/// Maximum number of indirect probes in flight on behalf of other members.
pub(crate) const MAX_INDIRECT_PROBES: usize = 64;
/// Suspects that are probed again in each period, so that they learn of the suspicion and can refute it.
pub(crate) const SUSPECTS_PROBED_PER_PERIOD: usize = 2;
/// With more updates queued than this, which is more than a datagram holds, members stop gossiping them and sync by
/// digests, which transfers only the differences. Otherwise three hundred members that start together, or rejoin after
/// a partition, would send each other all updates a dozen times.
pub(crate) const MAX_GOSSIPED_UPDATES: usize = 30;
/// After this many consecutive datagrams with the local digest, the others are assumed to have all updates that
/// digests cover.
pub(crate) const AGREEING_DATAGRAMS: u32 = 3;
/// Maximum number of datagrams in response to one sync request; the next request gets the rest.
pub(crate) const MAX_SYNC_DATAGRAMS: usize = 8;
