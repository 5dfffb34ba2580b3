//! The relays of a cluster, with a log of the faults set on each link and of bytes that crossed a stopped link.

use crate::DatagramFaults;
use crate::link::{ConnectionMode, Link};
use crate::relay::Relay;
use crate::shaping::Shaping;
use basaltward_net::{Micros, monotonic};
use std::collections::{BTreeMap, BTreeSet};

/// The simulated network: sets faults on links through the [`Relay`] and logs them.
pub struct Network {
    /// The relays.
    pub relay: Relay,
    /// Log of the faults set on links, with the time of each; `pass` ends a fault of the connections.
    pub fault_log: Vec<(Micros, Link, String)>,
    /// Bytes that crossed a link while it was stopped, which the relay must not allow.
    pub leaks: Vec<(Link, u64)>,
    /// Byte counts per direction at the time when that direction of the link was stopped.
    bytes_when_stopped: BTreeMap<Link, [Option<u64>; 2]>,
    connection_modes: BTreeMap<Link, ConnectionMode>,
    shapings: BTreeMap<Link, [Shaping; 2]>,
    /// Links whose target process is down.
    target_down: BTreeSet<Link>,
}

impl Network {
    /// A network without faults.
    pub fn new(relay: Relay) -> Self {
        let (bytes_when_stopped, connection_modes, shapings, target_down) = Default::default();
        let (faults, leaks) = (Vec::new(), Vec::new());
        Self { relay, fault_log: faults, leaks, bytes_when_stopped, connection_modes, shapings, target_down }
    }

    /// Sets how the connections of a link are treated from now on.
    pub fn set_connection_mode(&mut self, link: Link, mode: ConnectionMode) {
        if self.connection_modes.insert(link, mode).unwrap_or_default() == mode {
            return;
        }
        self.change_link(link, |network| {
            if !network.target_down.contains(&link) {
                network.relay.set_connection_mode(link, mode);
            }
        });
        self.log_fault(link, format!("{mode:?}").to_lowercase());
    }

    /// Records whether the target process of a link is down. While it is, the relay refuses connections, which it would
    /// otherwise accept in place of the process. This is not logged as a fault of the link.
    pub fn set_target_down(&mut self, link: Link, down: bool) {
        let changed = if down { self.target_down.insert(link) } else { self.target_down.remove(&link) };
        if changed {
            let mode = if down {
                ConnectionMode::Refuse
            } else {
                self.connection_modes.get(&link).copied().unwrap_or_default()
            };
            self.relay.set_connection_mode(link, mode);
        }
    }

    /// Sets delay, loss and rate of the bytes on a link's connections from now on: from the connecting side, and back.
    pub fn set_shaping(&mut self, link: Link, shapings: [Shaping; 2]) {
        if self.shapings.insert(link, shapings).unwrap_or_default() == shapings {
            return;
        }
        self.change_link(link, |network| network.relay.set_shaping(link, shapings));
        self.log_fault(link, format!("shaping {shapings:?}"));
    }

    /// Sets loss, duplication and delay of a link's datagrams from now on.
    pub fn set_datagram_faults(&mut self, link: Link, faults: DatagramFaults) {
        self.relay.set_datagram_faults(link, faults);
        self.log_fault(link, format!("lost {:.2}, doubled {:.2}", faults.loss_rate, faults.duplicate_rate));
    }

    fn log_fault(&mut self, link: Link, description: String) {
        self.fault_log.push((monotonic(), link, description));
    }

    fn bytes_carried(&self, link: Link) -> [u64; 2] {
        self.relay.counts().get(&link).map_or([0; 2], |c| [c.bytes.0, c.bytes.1])
    }

    /// Changes a link. Leaks of stopped directions are measured before the change, because bytes queued at the relay
    /// cross the link as soon as it is opened.
    fn change_link(&mut self, link: Link, change: impl FnOnce(&Self)) {
        let carried = self.bytes_carried(link);
        for (before, now) in self.bytes_when_stopped.remove(&link).unwrap_or_default().iter().zip(carried) {
            let leaked = before.map_or(0, |before| now - before);
            self.leaks.extend((leaked > 0).then_some((link, leaked)));
        }
        change(self);
        let stopped = self.connection_modes.get(&link).is_some_and(|mode| *mode != ConnectionMode::Pass);
        let shapings = self.shapings.get(&link).copied().unwrap_or_default();
        let carried = self.bytes_carried(link);
        let bytes_if_stopped =
            |direction: usize| (stopped || shapings[direction].blackhole).then_some(carried[direction]);
        let bytes = [bytes_if_stopped(0), bytes_if_stopped(1)];
        if bytes != [None; 2] {
            self.bytes_when_stopped.insert(link, bytes);
        }
    }
}
