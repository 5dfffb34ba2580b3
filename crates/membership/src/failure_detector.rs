//! The failure detector's state: suspicions that run, probes that are out, and probes made for others. All are put off by
//! the time for which we ourselves stood still: whoever was stalled doubts its own clock before it doubts others. Times are
//! on the caller's clock. Bounds: one suspicion a member, the probes of some periods, and
//! [`MAX_INDIRECT_PROBES`](crate::limits::MAX_INDIRECT_PROBES).

use crate::types::{Incarnation, MemberId, Micros};
use std::collections::BTreeMap;

/// A suspicion that runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Of which life.
    pub incarnation: Incarnation,
    /// When its subject is taken for gone.
    pub expires_at: Micros,
}

/// A probe that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    pub to: MemberId,
    pub sequence: u32,
    /// When others are asked to probe it too.
    pub indirect_at: Micros,
    /// When its silence is held against it.
    pub deadline: Micros,
    pub indirect_sent: bool,
    /// It is probed a second time: one round of losses suspects nobody, at 30% lost one in five would fail.
    pub second_attempt: bool,
}

/// A probe that another member asked us for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndirectProbe {
    pub requester: MemberId,
    /// The number of its own probe.
    pub requester_sequence: u32,
    pub expires_at: Micros,
}

/// See the module's page.
#[derive(Debug, Default)]
pub struct FailureDetector {
    /// By suspect.
    pub suspects: BTreeMap<MemberId, Suspicion>,
    pub probes: Vec<Probe>,
    /// By the number of our probe.
    pub indirect_probes: BTreeMap<u32, IndirectProbe>,
}

impl FailureDetector {
    /// The next time at which something here is due.
    pub fn next_due(&self) -> Option<Micros> {
        let probes = self.probes.iter().map(|q| if q.indirect_sent { q.deadline } else { q.indirect_at });
        probes.chain(self.suspects.values().map(|suspicion| suspicion.expires_at)).min()
    }

    /// We stood still for so long: nobody's silence in that time counts.
    pub fn postpone(&mut self, by: Micros) {
        for probe in &mut self.probes {
            probe.indirect_at += by;
            probe.deadline += by;
        }
        self.suspects.values_mut().for_each(|suspicion| suspicion.expires_at += by);
    }

    /// Forgets what is of members that are not in the list any more.
    pub fn retain_below(&mut self, size: MemberId) {
        self.suspects.retain(|of, _| *of < size);
        self.probes.retain(|probe| probe.to < size);
        self.indirect_probes.retain(|_, indirect_probe| indirect_probe.requester < size);
    }
}
