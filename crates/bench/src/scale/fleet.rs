//! A simulated fleet in zones and regions: members are started, killed and cut off, and are looked at by a checker
//! that costs a comparison of one digest a member.

use super::layout::Layout;
use super::meter::{ByteMeter, STEP_US, TimedView};
use basaltward_membership::{
    LinkFaults, MemberId, Membership, MembershipSettings, Micros, SettingsError, VirtualNetwork,
};
use std::time::{Duration, Instant};

/// One virtual second in microseconds.
pub const SECOND_US: Micros = 1_000_000;
/// How often the fleet is looked at: the resolution of all times.
const LOOK_US: Micros = 10_000;
/// The wall clock at the beginning of a run, in milliseconds since the beginning of 2026.
const EPOCH_MS: u64 = 28_000_000_000;
/// Members are as old as if each had been started at some time of a day: an update then takes the bytes that it takes
/// in a fleet that is restarted machine by machine, not the few of one that began in one millisecond.
const START_SPREAD_MS: u64 = 86_400_000;

/// How a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// All agree, after so many microseconds.
    After(Micros),
    /// They did not within the virtual bound, so many microseconds.
    NotWithin(Micros),
    /// The run's bound of wall time came first.
    OutOfTime,
}

/// What a span of virtual time cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Virtual microseconds.
    pub span: Micros,
    /// Bytes sent by all members.
    pub bytes: u64,
    /// Most bytes of one member within a second.
    pub worst_bytes_per_s: u64,
    /// Time spent in the state machines.
    pub processor: Duration,
}

/// The fleet and its meters.
pub struct Fleet {
    net: VirtualNetwork<TimedView>,
    settings: MembershipSettings,
    layout: Layout,
    meter: ByteMeter,
    deadline: Instant,
    /// Processor time of members that have ended.
    ended: Duration,
    next_step: Micros,
}

impl Fleet {
    /// A fleet of which nobody is started; it ends waits at `deadline`.
    pub fn new(settings: MembershipSettings, layout: Layout, lost: f64, deadline: Instant) -> Self {
        let mut net = VirtualNetwork::new(
            settings.size,
            settings.seed,
            LinkFaults { loss_rate: lost, ..LinkFaults::default() },
        );
        net.set_delays(layout.delays(false));
        let next_step = net.now + STEP_US;
        let meter = ByteMeter::new(settings.size);
        Self { net, settings, layout, meter, deadline, ended: Duration::ZERO, next_step }
    }

    /// All members' numbers.
    pub fn members(&self) -> Vec<MemberId> {
        self.net.node_ids().collect()
    }

    /// A member's view, if it runs.
    pub fn view(&self, member: MemberId) -> Option<&Membership> {
        self.net.node(member).map(|timed| &timed.view)
    }

    /// Starts members, which know nothing of earlier lives.
    ///
    /// # Errors
    /// Where the settings can't be used.
    pub fn start(&mut self, members: &[MemberId]) -> Result<(), SettingsError> {
        for &own in members {
            // A later life never begins before an earlier one: restarts come after the day.
            let age_ms = self.net.random_below(START_SPREAD_MS);
            let since_first = if self.net.start_count(own) == 0 { 0 } else { START_SPREAD_MS };
            let start = EPOCH_MS + since_first + self.net.now / 1_000 + age_ms * u64::from(since_first == 0);
            let settings = MembershipSettings { own, start, ..self.settings };
            let view = Membership::new(settings, self.net.clock(own))?;
            let before = self.net.insert(own, TimedView::new(view));
            self.count_ended(before);
        }
        Ok(())
    }

    /// Kills members outright.
    pub fn kill(&mut self, members: &[MemberId]) {
        for member in members {
            let ended = self.net.kill(*member);
            self.count_ended(ended);
        }
    }

    /// Cuts the regions off from each other, or joins them again.
    pub fn set_regions_apart(&mut self, apart: bool) {
        self.net.set_delays(self.layout.delays(apart));
    }

    /// Lets virtual time pass.
    pub fn pass(&mut self, span: Micros) {
        let until = self.net.now + span;
        while self.net.now < until && !self.is_out_of_time() {
            self.advance(until);
        }
    }

    /// Waits until all that run agree, at most `bound` microseconds.
    pub fn settle(&mut self, bound: Micros) -> Settled {
        let from = self.net.now;
        while self.net.now < from + bound {
            if self.is_out_of_time() {
                return Settled::OutOfTime;
            }
            self.advance(from + bound);
            if self.is_agreed() {
                return Settled::After(self.net.now - from);
            }
        }
        Settled::NotWithin(bound)
    }

    /// Whether all that run hold the same view, and a true one: live is who runs. Views are compared by their digests;
    /// one of them is looked at entry by entry.
    pub fn is_agreed(&self) -> bool {
        let mut views = self.net.node_ids().filter_map(|member| self.view(member));
        let Some(first) = views.next() else { return true };
        views.all(|view| view.digest() == first.digest())
            && self.net.node_ids().all(|member| {
                first.members()[usize::from(member)].state.is_live() == self.net.node(member).is_some()
            })
    }

    /// How many members hold the view that most of them hold, and how many of all entries are right, in parts of 1.
    pub fn progress(&self) -> f64 {
        let views: Vec<_> = self.net.node_ids().filter_map(|member| self.view(member)).collect();
        let up: Vec<_> = self.net.node_ids().map(|member| self.net.node(member).is_some()).collect();
        let right = |view: &&Membership| {
            view.members().iter().zip(&up).filter(|(entry, up)| entry.state.is_live() == **up).count()
        };
        views.iter().map(right).sum::<usize>() as f64 / (views.len() * up.len()).max(1) as f64
    }

    /// Whether the run has used its wall time.
    pub fn is_out_of_time(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Runs an act and tells what it cost.
    pub fn measure<T>(&mut self, act: impl FnOnce(&mut Self) -> T) -> (T, Cost) {
        self.meter.take_sum();
        self.meter.take_worst();
        let (from, before) = (self.net.now, self.spent());
        let done = act(self);
        let cost = Cost {
            span: self.net.now - from,
            bytes: self.meter.take_sum(),
            worst_bytes_per_s: self.meter.take_worst(),
            processor: self.spent() - before,
        };
        (done, cost)
    }

    fn advance(&mut self, until: Micros) {
        let next = (self.net.now + LOOK_US).min(until).min(self.next_step);
        self.net.run_until(next);
        // What changed is not looked at; by millions it would be most of the memory.
        self.net.outputs.clear();
        if self.net.now >= self.next_step {
            let totals =
                self.net.node_ids().map(|of| self.net.node(of).map(|timed| timed.view.counters().sent.1));
            self.meter.end_step(totals);
            self.next_step += STEP_US;
        }
    }

    fn spent(&self) -> Duration {
        let running = self.net.node_ids().filter_map(|member| self.net.node(member));
        running.map(TimedView::spent).sum::<Duration>() + self.ended
    }

    fn count_ended(&mut self, ended: Option<TimedView>) {
        self.ended += ended.map_or(Duration::ZERO, |timed| timed.spent());
    }
}
