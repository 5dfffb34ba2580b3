//! Home sites of functions, and the protocol by which a home moves.
//!
//! A site announces in its reports that it bids for a home at another site, and moves the function once the other site
//! has acknowledged that report. So two sites never move the same function to each other at the same time.

use crate::wire::HomeStatus;
use basaltward_membership::{Micros, Site};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// A bid that the other site has not agreed to within this time is withdrawn.
const BID_TIMEOUT: Micros = 3_000_000;

/// A pending request to move a function to another site.
#[derive(Clone, Copy, Debug)]
struct Bid {
    to: Site,
    /// Number of the first report that announces the bid.
    first_report: u64,
    since: Micros,
}

#[derive(Clone, Copy, Debug)]
struct HomeEntry {
    home: Site,
    /// The home doesn't move to another site before this time.
    dwell_until: Micros,
    bid: Option<Bid>,
}

/// Home of a function at another site, from a recent report of that site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerHomeStatus {
    pub status: HomeStatus,
    /// Number of the last local report that the other site had received.
    pub acked: u64,
}

/// Homes of the functions for calls of the local site; a function without an entry has its home here.
#[derive(Debug)]
pub(crate) struct Homes {
    local_site: Site,
    dwell: Micros,
    entries: BTreeMap<u32, HomeEntry>,
    /// Sites that have, or bid to have, their calls of a function served here; until this time the function does not
    /// move to them.
    incoming: BTreeMap<(u32, Site), Micros>,
}

/// Rank of a site for a function by a hash, the same at all sites.
pub(crate) fn rank(function: u32, site: Site) -> u64 {
    let mut key = [0; 5];
    key[..4].copy_from_slice(&function.to_le_bytes());
    key[4] = site;
    xxh3_64(&key)
}

impl Homes {
    pub fn new(local_site: Site, dwell: Micros) -> Self {
        Self { local_site, dwell, entries: BTreeMap::new(), incoming: BTreeMap::new() }
    }

    pub fn home_of(&self, function: u32) -> Site {
        self.entries.get(&function).map_or(self.local_site, |entry| entry.home)
    }

    /// Functions that have an entry: they have moved, or a bid is pending.
    pub fn tracked_functions(&self) -> Vec<u32> {
        self.entries.keys().copied().collect()
    }

    pub fn is_dwelling(&self, now: Micros, function: u32) -> bool {
        self.entries.get(&function).is_some_and(|entry| now < entry.dwell_until)
    }

    /// The homes as local reports state them.
    pub fn statuses(&self, now: Micros) -> Vec<HomeStatus> {
        let statuses = self.entries.iter().map(|(function, entry)| HomeStatus {
            function: *function,
            home: entry.home,
            dwelling: now < entry.dwell_until,
            bid: entry.bid.map(|bid| bid.to),
        });
        statuses.collect()
    }

    /// Handles the homes in the report of another site. A function that has its home here according to that site, or
    /// for which that site bids to move it here, does not move there for a while. If two sites bid for each other, the
    /// bid towards the higher rank survives.
    pub fn handle_report(&mut self, now: Micros, from: Site, homes: &BTreeMap<u32, HomeStatus>) {
        for status in homes.values() {
            if status.home == self.local_site || status.bid == Some(self.local_site) {
                self.incoming.insert((status.function, from), now + self.dwell);
                let lowers_rank =
                    |to: Site| rank(status.function, self.local_site) > rank(status.function, to);
                if let Some(entry) = self.entries.get_mut(&status.function)
                    && entry.bid.is_some_and(|bid| lowers_rank(bid.to))
                {
                    entry.bid = None;
                }
            }
        }
        self.incoming.retain(|_, until| now < *until);
    }

    /// Moves a function back to the local site without a bid: its home is unreachable or no longer cheaper.
    pub fn move_back(&mut self, now: Micros, function: u32) {
        if self.home_of(function) != self.local_site {
            self.entries.insert(
                function,
                HomeEntry { home: self.local_site, dwell_until: now + self.dwell, bid: None },
            );
        }
    }

    /// Sets a home without a bid, such as one that the previous coordinator of the site had moved. It dwells there for
    /// the full time if `dwelling`.
    pub fn adopt(&mut self, now: Micros, function: u32, home: Site, dwelling: bool) {
        let dwell_until = if dwelling { now + self.dwell } else { now };
        self.entries.insert(function, HomeEntry { home, dwell_until, bid: None });
    }

    /// Removes all homes, before those of another coordinator are adopted.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Bids for a home at another site, or moves the function there if that site has agreed to the bid. `next_report` is
    /// the number of the next local report, which will announce the bid.
    pub fn request_move(
        &mut self,
        now: Micros,
        function: u32,
        to: Site,
        next_report: u64,
        peer: &PeerHomeStatus,
    ) {
        let incoming = self.incoming.get(&(function, to)).is_some_and(|until| now < *until);
        let available = peer.status.home == to && !peer.status.dwelling && !incoming;
        let at_local_site = HomeEntry { home: self.local_site, dwell_until: 0, bid: None };
        let (local_site, dwell) = (self.local_site, self.dwell);
        let entry = self.entries.entry(function).or_insert(at_local_site);
        if !available || now < entry.dwell_until || entry.home == to {
            entry.bid = None;
            return;
        }
        match entry.bid.filter(|bid| bid.to == to) {
            None => entry.bid = Some(Bid { to, first_report: next_report, since: now }),
            Some(bid) => {
                // The other site bids for this one, against the rank: it withdraws its bid on receipt of the local one.
                let yields =
                    peer.status.bid == Some(local_site) && rank(function, local_site) < rank(function, to);
                if peer.acked >= bid.first_report && (peer.status.bid.is_none() || yields) {
                    *entry = HomeEntry { home: to, dwell_until: now + dwell, bid: None };
                }
            }
        }
    }

    /// Withdraws bids that timed out or whose function shall no longer move there, and removes entries that hold nothing.
    pub fn expire_bids(&mut self, now: Micros, preferred: &BTreeMap<u32, Site>) {
        let local_site = self.local_site;
        self.entries.retain(|function, entry| {
            let active =
                |bid: &Bid| preferred.get(function) == Some(&bid.to) && now < bid.since + BID_TIMEOUT;
            entry.bid = entry.bid.filter(active);
            entry.home != local_site || now < entry.dwell_until || entry.bid.is_some()
        });
    }
}
