//! The bulletin's entries as the module's members.

use crate::config::NodeConfig;
use basaltward::{Member, MembersKind, State};
use basaltward_bulletin::{Roster, Standing, Target};
use basaltward_net::Clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

/// Turns names into the module's positions and wall times into the loop's.
pub struct Names {
    kinds: Vec<String>,
    zones: Vec<String>,
    clock: Clock,
}

impl Names {
    pub fn new(config: &NodeConfig, wall_step: Arc<AtomicI64>) -> Self {
        let clock = Clock::read_stepped(wall_step.load(Ordering::Relaxed));
        Self { kinds: config.told.kinds.clone(), zones: config.told.zones.clone(), clock }
    }

    /// A name that the settings don't hold has the place after the last: the module takes it for an average.
    fn member(&self, target: &Target) -> Member {
        let place =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(names.len());
        let started = |ms: u64| self.clock.place(ms.saturating_mul(1_000)).max(1);
        Member {
            worker: target.uid.as_str().into(),
            state: match target.state {
                Standing::Ready => State::Active,
                Standing::Terminating => State::Leaving,
                Standing::Gone => State::Gone,
            },
            started: if target.boot_ms == 0 { 0 } else { started(target.boot_ms) },
            hint: target.capacity_hint,
            kind: place(&self.kinds, &target.model),
            zone: place(&self.zones, &target.az),
            cell: target.pod_group,
        }
    }

    pub fn members(&self, roster: &Roster) -> (MembersKind, Vec<Member>) {
        let kind = if roster.all { MembersKind::Whole } else { MembersKind::Changes };
        (kind, roster.targets.iter().map(|t| self.member(t)).collect())
    }
}
