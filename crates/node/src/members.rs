//! The bulletin's entries as the module's members.

use crate::config::NodeConfig;
use crate::start_times::StartTimes;
use basaltward::{Member, MembersKind, Micros, WorkerState};
use basaltward_bulletin::{Roster, Standing, Target};
use basaltward_net::Clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

/// Turns names into the module's positions and wall times into the loop's.
pub struct Names {
    kinds: Vec<String>,
    zones: Vec<String>,
    starts: StartTimes,
    /// By how many microseconds the machine's wall clock counts as stepped: for tests.
    wall_step: Arc<AtomicI64>,
}

impl Names {
    pub fn new(config: &NodeConfig, wall_step: Arc<AtomicI64>) -> Self {
        let starts = StartTimes::new(Clock::read_stepped(wall_step.load(Ordering::Relaxed)));
        Self { kinds: config.told.kinds.clone(), zones: config.told.zones.clone(), starts, wall_step }
    }

    /// A name that the settings don't hold has the place after the last: the module takes it for an average.
    fn member(&self, target: &Target, started: Micros) -> Member {
        let place =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(names.len());
        Member {
            worker: target.uid.as_str().into(),
            state: match target.state {
                Standing::Ready => WorkerState::Active,
                Standing::Terminating => WorkerState::Leaving,
                Standing::Gone => WorkerState::Gone,
            },
            started,
            hint: target.capacity_hint,
            kind: place(&self.kinds, &target.model),
            zone: place(&self.zones, &target.az),
            cell: target.pod_group,
        }
    }

    /// The list has said all that it has to say by now.
    pub fn list_spoke(&mut self, now: Micros) {
        self.starts.list_spoke(now);
    }

    pub fn members(&mut self, roster: &Roster) -> (MembersKind, Vec<Member>) {
        self.starts.list_came(Clock::read_stepped(self.wall_step.load(Ordering::Relaxed)));
        let kind = if roster.all { MembersKind::Whole } else { MembersKind::Changes };
        if roster.all {
            self.starts.only(&roster.targets);
        }
        let mut members = Vec::with_capacity(roster.targets.len());
        for target in &roster.targets {
            let started = self.starts.started(target);
            members.push(self.member(target, started));
        }
        (kind, members)
    }
}
