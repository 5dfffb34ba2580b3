//! Keys of facts, each with who tells under it: no two owners share one.

use std::ops::Range;

/// Counters of calls served, refused and failed.
pub const CALLS_KEY: u8 = 0;
/// What a member has in hand for drained workers.
pub const DRAINS_KEY: u8 = 1;
/// The mark of the version that a member runs.
pub const VERSION_KEY: u8 = 2;
/// Load by class and tenant, and budgets of retries (`crates/shed`).
pub const SHED_KEYS: Range<u8> = 3..8;
/// Load of a site (`crates/route`).
pub const ROUTE_KEYS: Range<u8> = 8..12;
/// What is owed (`crates/pending`).
pub const PENDING_KEYS: Range<u8> = 12..14;
