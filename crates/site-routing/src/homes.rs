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
    number: u64,
    since: Micros,
}

#[derive(Clone, Copy, Debug)]
struct HomeEntry {
    at: Site,
    /// Until when it stays there.
    stays: Micros,
    bid: Option<Bid>,
}

/// What another site says of a function, in a word that is fresh.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerHomeStatus {
    pub homed: HomeStatus,
    /// Number of our last word that it had heard.
    pub heard: u64,
}

/// Our site's homes; a function without an entry is at home here.
#[derive(Debug)]
pub(crate) struct Homes {
    here: Site,
    stay: Micros,
    of: BTreeMap<u32, HomeEntry>,
    /// Until when we don't take a function to a site that brought it to us.
    guests: BTreeMap<(u32, Site), Micros>,
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
        Self { here, stay, of: BTreeMap::new(), guests: BTreeMap::new() }
    }

    pub fn at(&self, function: u32) -> Site {
        self.of.get(&function).map_or(self.here, |home| home.at)
    }

    /// Functions that have an entry.
    pub fn entries(&self) -> Vec<u32> {
        self.of.keys().copied().collect()
    }

    pub fn stays(&self, now: Micros, function: u32) -> bool {
        self.of.get(&function).is_some_and(|home| now < home.stays)
    }

    /// What our words say of homes.
    pub fn told(&self, now: Micros) -> Vec<HomeStatus> {
        let told = self.of.iter().map(|(function, home)| HomeStatus {
            function: *function,
            home: home.at,
            dwelling: now < home.stays,
            bid: home.bid.map(|bid| bid.to),
        });
        told.collect()
    }

    /// Another site was heard: who brings its calls to us is not gone to for a while, and of two that bid for each
    /// other the one goes on that bids up the order.
    pub fn heard(&mut self, now: Micros, from: Site, homes: &BTreeMap<u32, HomeStatus>) {
        for homed in homes.values() {
            if homed.home == self.here || homed.bid == Some(self.here) {
                self.guests.insert((homed.function, from), now + self.stay);
                let down = |to: Site| rank(homed.function, self.here) > rank(homed.function, to);
                if let Some(home) = self.of.get_mut(&homed.function)
                    && home.bid.is_some_and(|bid| down(bid.to))
                {
                    home.bid = None;
                }
            }
        }
        self.guests.retain(|_, until| now < *until);
    }

    /// Takes a function home at once: its home is out of reach, or no better any more.
    pub fn back(&mut self, now: Micros, function: u32) {
        if self.at(function) != self.here {
            self.of.insert(function, HomeEntry { at: self.here, stays: now + self.stay, bid: None });
        }
    }

    /// What a site's former teller had moved; what we moved ourselves stays.
    pub fn adopt(&mut self, now: Micros, function: u32, at: Site, stays: bool) {
        let stays = if stays { now + self.stay } else { now };
        self.of.insert(function, HomeEntry { at, stays, bid: None });
    }

    /// Forgets all, for what another teller told.
    pub fn clear(&mut self) {
        self.of.clear();
    }

    /// Bids for a home at another site, or moves there once that is agreed to. `number` is that of our next word.
    pub fn wish(&mut self, now: Micros, function: u32, to: Site, number: u64, said: &PeerHomeStatus) {
        let guest = self.guests.get(&(function, to)).is_some_and(|until| now < *until);
        let free = said.homed.home == to && !said.homed.dwelling && !guest;
        let plain = HomeEntry { at: self.here, stays: 0, bid: None };
        let (here, stay) = (self.here, self.stay);
        let home = self.of.entry(function).or_insert(plain);
        if !free || now < home.stays || home.at == to {
            home.bid = None;
            return;
        }
        match home.bid.filter(|bid| bid.to == to) {
            None => home.bid = Some(Bid { to, number, since: now }),
            Some(bid) => {
                // Its own bid goes down the order and is for us: it lets it go when it hears of ours.
                let yields = said.homed.bid == Some(here) && rank(function, here) < rank(function, to);
                if said.heard >= bid.number && (said.homed.bid.is_none() || yields) {
                    *home = HomeEntry { at: to, stays: now + stay, bid: None };
                }
            }
        }
    }

    /// Nothing is wished for a function, or what was is not agreed to.
    pub fn rest(&mut self, now: Micros, wished: &BTreeMap<u32, Site>) {
        let here = self.here;
        self.of.retain(|function, home| {
            let holds = |bid: &Bid| wished.get(function) == Some(&bid.to) && now < bid.since + BID;
            home.bid = home.bid.filter(holds);
            home.at != here || now < home.stays || home.bid.is_some()
        });
    }
}
