//! Fact keys, assigned to the crates that publish under them. No two crates share a key.

use std::ops::Range;

/// Counters of calls served, refused and failed.
pub const CALLS_KEY: u8 = 0;
/// Requests that a member has in flight on drained workers.
pub const DRAINS_KEY: u8 = 1;
/// An identifier of the software version that a member runs.
pub const VERSION_KEY: u8 = 2;
/// Load by class and tenant, and retry budgets (`crates/admission`).
pub const SHED_KEYS: Range<u8> = 3..8;
/// Load of a site (`crates/site-routing`).
pub const ROUTE_KEYS: Range<u8> = 8..12;
/// Pending events (`crates/pending`).
pub const PENDING_KEYS: Range<u8> = 12..14;
