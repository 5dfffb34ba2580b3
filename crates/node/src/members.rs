//! Converts the bulletin's entries to the module's members.

use crate::config::NodeConfig;
use crate::start_times::StartTimes;
use basaltward::{Member, MembersKind, Micros, WorkerState};
use basaltward_bulletin::{Roster, Target, TargetState};
use basaltward_net::Clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

/// Maps names to the module's indexes, and wall times to the loop's clock.
pub struct MemberMapper {
    kinds: Vec<String>,
    zones: Vec<String>,
    starts: StartTimes,
    /// Offset in microseconds that is added to the machine's wall clock, for tests.
    wall_step: Arc<AtomicI64>,
}

impl MemberMapper {
    pub fn new(config: &NodeConfig, wall_step: Arc<AtomicI64>) -> Self {
        let starts = StartTimes::new(Clock::read_stepped(wall_step.load(Ordering::Relaxed)));
        Self { kinds: config.settings.kinds.clone(), zones: config.settings.zones.clone(), starts, wall_step }
    }

    /// A name that the settings don't contain maps to the index after the last; the module assumes average values
    /// for it.
    fn member(&self, target: &Target, started: Micros) -> Member {
        let position =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(names.len());
        Member {
            worker: target.uid.as_str().into(),
            state: match target.state {
                TargetState::Ready => WorkerState::Active,
                TargetState::Terminating => WorkerState::Leaving,
                TargetState::Gone => WorkerState::Gone,
            },
            started,
            hint: target.capacity_hint,
            kind: position(&self.kinds, &target.model),
            zone: position(&self.zones, &target.az),
            cell: target.pod_group,
        }
    }

    /// Records that input from the bulletin, which keeps the list up to date, was handled at `now`.
    pub fn list_confirmed(&mut self, now: Micros) {
        self.starts.list_confirmed(now);
    }

    pub fn members(&mut self, roster: &Roster) -> (MembersKind, Vec<Member>) {
        self.starts.list_received(Clock::read_stepped(self.wall_step.load(Ordering::Relaxed)));
        let kind = if roster.all { MembersKind::Whole } else { MembersKind::Changes };
        if roster.all {
            self.starts.mark_unlisted_gone(&roster.targets);
        }
        let mut members = Vec::with_capacity(roster.targets.len());
        for target in &roster.targets {
            let started = self.starts.started(target);
            members.push(self.member(target, started));
        }
        (kind, members)
    }
}
