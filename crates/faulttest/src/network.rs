//! The relays of a bed, with what was done to each way when, and what crossed one that was cut.

use crate::Loss;
use crate::link::{ConnectionMode, Link};
use crate::relay::Relay;
use crate::shaping::Shaping;
use basaltward_net::{Micros, monotonic};
use std::collections::{BTreeMap, BTreeSet};

/// See the module.
pub struct Network {
    /// The relays.
    pub relay: Relay,
    /// Faults put on ways, with their time.
    pub faults: Vec<(Micros, Link, String)>,
    /// Bytes that crossed a way while it was cut.
    pub leaks: Vec<(Link, u64)>,
    /// Bytes in each direction of a way as it was closed there.
    closed: BTreeMap<Link, [Option<u64>; 2]>,
    streams: BTreeMap<Link, ConnectionMode>,
    shapings: BTreeMap<Link, [Shaping; 2]>,
    /// Nobody listens at their ends.
    shut: BTreeSet<Link>,
}

impl Network {
    /// No faults yet.
    pub fn new(relay: Relay) -> Self {
        let (closed, streams, shapings, shut) = Default::default();
        Self { relay, faults: Vec::new(), leaks: Vec::new(), closed, streams, shapings, shut }
    }

    /// What becomes of the connections of a way from now on.
    pub fn stream(&mut self, way: Link, stream: ConnectionMode) {
        if self.streams.insert(way, stream).unwrap_or_default() == stream {
            return;
        }
        self.settle(way, |ways| {
            if !ways.shut.contains(&way) {
                ways.relay.stream(way, stream);
            }
        });
        self.note(way, format!("{stream:?}").to_lowercase());
    }

    /// Nobody listens at the end of a way, or somebody does again: a relay would else take connections in its place.
    /// That is no fault of the way.
    pub fn shut(&mut self, way: Link, shut: bool) {
        let changed = if shut { self.shut.insert(way) } else { self.shut.remove(&way) };
        if changed {
            let stream = if shut {
                ConnectionMode::Refuse
            } else {
                self.streams.get(&way).copied().unwrap_or_default()
            };
            self.relay.stream(way, stream);
        }
    }

    /// How bytes of a way travel from now on, from who began and back.
    pub fn shapings(&mut self, way: Link, shapings: [Shaping; 2]) {
        if self.shapings.insert(way, shapings).unwrap_or_default() == shapings {
            return;
        }
        self.settle(way, |ways| ways.relay.shapings(way, shapings));
        self.note(way, format!("courses {shapings:?}"));
    }

    /// What becomes of the datagrams of a way from now on.
    pub fn loss(&mut self, way: Link, loss: Loss) {
        self.relay.loss(way, loss);
        self.note(way, format!("lost {:.2}, doubled {:.2}", loss.loss_rate, loss.duplicate_rate));
    }

    fn note(&mut self, way: Link, what: String) {
        self.faults.push((monotonic(), way, what));
    }

    fn carried(&self, way: Link) -> [u64; 2] {
        self.relay.counts().get(&way).map_or([0; 2], |c| [c.bytes.0, c.bytes.1])
    }

    /// Changes a way. What was closed is looked at before: what waits at the relay crosses it then.
    fn settle(&mut self, way: Link, change: impl FnOnce(&Self)) {
        let carried = self.carried(way);
        for (before, now) in self.closed.remove(&way).unwrap_or_default().iter().zip(carried) {
            let leaked = before.map_or(0, |before| now - before);
            self.leaks.extend((leaked > 0).then_some((way, leaked)));
        }
        change(self);
        let stopped = self.streams.get(&way).is_some_and(|stream| *stream != ConnectionMode::Pass);
        let shapings = self.shapings.get(&way).copied().unwrap_or_default();
        let carried = self.carried(way);
        let close = |direction: usize| (stopped || shapings[direction].silent).then_some(carried[direction]);
        let closed = [close(0), close(1)];
        if closed != [None; 2] {
            self.closed.insert(way, closed);
        }
    }
}
