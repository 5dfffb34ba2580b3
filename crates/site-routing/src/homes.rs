//! Homes of functions, and how one moves: it is bid for in words that the other site acknowledges, so that two sites
//! never take each other's function at once.

use crate::wire::HomeStatus;
use basaltward_membership::{Micros, Site};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// A bid that is not agreed to in this time is let go.
const BID: Micros = 3_000_000;

#[derive(Clone, Copy, Debug)]
struct Bid {
    to: Site,
    /// Number of the first word that tells it.
    first_report: u64,
    since: Micros,
}

#[derive(Clone, Copy, Debug)]
struct HomeEntry {
    home: Site,
    /// Until when it stays there.
    dwell_until: Micros,
    bid: Option<Bid>,
}

/// What another site says of a function, in a word that is fresh.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerHomeStatus {
    pub status: HomeStatus,
    /// Number of our last word that it had heard.
    pub acked: u64,
}

/// Our site's homes; a function without an entry is at home here.
#[derive(Debug)]
pub(crate) struct Homes {
    local_site: Site,
    dwell: Micros,
    entries: BTreeMap<u32, HomeEntry>,
    /// Until when we don't take a function to a site that brought it to us.
    incoming: BTreeMap<(u32, Site), Micros>,
}

/// The order of sites for a function, the same for all.
pub(crate) fn rank(function: u32, site: Site) -> u64 {
    let mut key = [0; 5];
    key[..4].copy_from_slice(&function.to_le_bytes());
    key[4] = site;
    xxh3_64(&key)
}

impl Homes {
    pub fn new(here: Site, stay: Micros) -> Self {
        Self { local_site: here, dwell: stay, entries: BTreeMap::new(), incoming: BTreeMap::new() }
    }

    pub fn home_of(&self, function: u32) -> Site {
        self.entries.get(&function).map_or(self.local_site, |home| home.home)
    }

    /// Functions that have an entry.
    pub fn moved_functions(&self) -> Vec<u32> {
        self.entries.keys().copied().collect()
    }

    pub fn is_dwelling(&self, now: Micros, function: u32) -> bool {
        self.entries.get(&function).is_some_and(|home| now < home.dwell_until)
    }

    /// What our words say of homes.
    pub fn statuses(&self, now: Micros) -> Vec<HomeStatus> {
        let told = self.entries.iter().map(|(function, home)| HomeStatus {
            function: *function,
            home: home.home,
            dwelling: now < home.dwell_until,
            bid: home.bid.map(|bid| bid.to),
        });
        told.collect()
    }

    /// Another site was heard: who brings its calls to us is not gone to for a while, and of two that bid for each
    /// other the one goes on that bids up the order.
    pub fn handle_report(&mut self, now: Micros, from: Site, homes: &BTreeMap<u32, HomeStatus>) {
        for homed in homes.values() {
            if homed.home == self.local_site || homed.bid == Some(self.local_site) {
                self.incoming.insert((homed.function, from), now + self.dwell);
                let down = |to: Site| rank(homed.function, self.local_site) > rank(homed.function, to);
                if let Some(home) = self.entries.get_mut(&homed.function)
                    && home.bid.is_some_and(|bid| down(bid.to))
                {
                    home.bid = None;
                }
            }
        }
        self.incoming.retain(|_, until| now < *until);
    }

    /// Takes a function home at once: its home is out of reach, or no better any more.
    pub fn move_back(&mut self, now: Micros, function: u32) {
        if self.home_of(function) != self.local_site {
            self.entries.insert(
                function,
                HomeEntry { home: self.local_site, dwell_until: now + self.dwell, bid: None },
            );
        }
    }

    /// What a site's former teller had moved; what we moved ourselves stays.
    pub fn adopt(&mut self, now: Micros, function: u32, at: Site, stays: bool) {
        let stays = if stays { now + self.dwell } else { now };
        self.entries.insert(function, HomeEntry { home: at, dwell_until: stays, bid: None });
    }

    /// Forgets all, for what another teller told.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Bids for a home at another site, or moves there once that is agreed to. `number` is that of our next word.
    pub fn request_move(&mut self, now: Micros, function: u32, to: Site, number: u64, said: &PeerHomeStatus) {
        let guest = self.incoming.get(&(function, to)).is_some_and(|until| now < *until);
        let free = said.status.home == to && !said.status.dwelling && !guest;
        let plain = HomeEntry { home: self.local_site, dwell_until: 0, bid: None };
        let (here, stay) = (self.local_site, self.dwell);
        let home = self.entries.entry(function).or_insert(plain);
        if !free || now < home.dwell_until || home.home == to {
            home.bid = None;
            return;
        }
        match home.bid.filter(|bid| bid.to == to) {
            None => home.bid = Some(Bid { to, first_report: number, since: now }),
            Some(bid) => {
                // Its own bid goes down the order and is for us: it lets it go when it hears of ours.
                let yields = said.status.bid == Some(here) && rank(function, here) < rank(function, to);
                if said.acked >= bid.first_report && (said.status.bid.is_none() || yields) {
                    *home = HomeEntry { home: to, dwell_until: now + stay, bid: None };
                }
            }
        }
    }

    /// Nothing is wished for a function, or what was is not agreed to.
    pub fn expire_bids(&mut self, now: Micros, wished: &BTreeMap<u32, Site>) {
        let here = self.local_site;
        self.entries.retain(|function, home| {
            let holds = |bid: &Bid| wished.get(function) == Some(&bid.to) && now < bid.since + BID;
            home.bid = home.bid.filter(holds);
            home.home != here || now < home.dwell_until || home.bid.is_some()
        });
    }
}
