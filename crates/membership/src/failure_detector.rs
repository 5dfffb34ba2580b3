//! State of the failure detector: open suspicions, probes in flight, and indirect probes on behalf of other members.
//! After a stall of the local process, suspicions and probes are postponed by its length, since the silence of others
//! may be due to the stall. Times are on the caller's clock. Bounds: one suspicion per member, the probes of a few
//! periods, and [`MAX_INDIRECT_PROBES`](crate::limits::MAX_INDIRECT_PROBES).

use crate::types::{Incarnation, MemberId, Micros};
use std::collections::BTreeMap;

/// An open suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The suspected incarnation.
    pub incarnation: Incarnation,
    /// When the suspect is declared gone.
    pub expires_at: Micros,
}

/// A probe in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    pub to: MemberId,
    pub sequence: u32,
    /// When other members are requested to probe the target.
    pub indirect_at: Micros,
    /// When the probe fails if it was not acknowledged.
    pub deadline: Micros,
    pub indirect_sent: bool,
    /// Whether this is the second attempt. A suspicion needs two failed attempts, since at 30% packet loss one in five
    /// single attempts would fail.
    pub second_attempt: bool,
}

/// A probe on behalf of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndirectProbe {
    pub requester: MemberId,
    /// The sequence number of the requester's own probe.
    pub requester_sequence: u32,
    pub expires_at: Micros,
}

/// State of the failure detector, see the module documentation.
#[derive(Debug, Default)]
pub struct FailureDetector {
    /// Keyed by the suspect.
    pub suspects: BTreeMap<MemberId, Suspicion>,
    pub probes: Vec<Probe>,
    /// Keyed by the sequence number of the local probe.
    pub indirect_probes: BTreeMap<u32, IndirectProbe>,
}

impl FailureDetector {
    /// When the next probe step or suspicion timeout is due.
    pub fn next_due(&self) -> Option<Micros> {
        let probes = self
            .probes
            .iter()
            .map(|probe| if probe.indirect_sent { probe.deadline } else { probe.indirect_at });
        probes.chain(self.suspects.values().map(|suspicion| suspicion.expires_at)).min()
    }

    /// Postpones probes and suspicions after a local stall, during which the silence of others does not count.
    pub fn postpone(&mut self, by: Micros) {
        for probe in &mut self.probes {
            probe.indirect_at += by;
            probe.deadline += by;
        }
        self.suspects.values_mut().for_each(|suspicion| suspicion.expires_at += by);
    }

    /// Removes the state of members that are no longer in the configured list.
    pub fn retain_below(&mut self, size: MemberId) {
        self.suspects.retain(|suspect, _| *suspect < size);
        self.probes.retain(|probe| probe.to < size);
        self.indirect_probes.retain(|_, indirect_probe| indirect_probe.requester < size);
    }
}
