//! A simulated fleet in zones and regions whose members are started, killed and partitioned. A checker tests for
//! agreement by comparing one digest per member.

use super::layout::Layout;
use super::meter::{ByteMeter, STEP_US, TimedView};
use basaltward_membership::{
    LinkFaults, MemberId, Membership, MembershipSettings, Micros, SettingsError, VirtualNetwork,
};
use std::time::{Duration, Instant};

/// One virtual second in microseconds.
pub const SECOND_US: Micros = 1_000_000;
/// Interval at which agreement is checked: the resolution of all measured times.
const CHECK_INTERVAL_US: Micros = 10_000;
/// The wall clock at the start of a run, in milliseconds since the start of 2026.
const EPOCH_MS: u64 = 28_000_000_000;
/// Start times of members are spread over a day. An update then takes as many bytes as in a fleet that is restarted
/// machine by machine; in a fleet that was started within one millisecond it would take fewer.
const START_SPREAD_MS: u64 = 86_400_000;

/// The outcome of waiting for agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// All members agree, after this many microseconds.
    After(Micros),
    /// The members did not agree within the bound of virtual time, in microseconds.
    NotWithin(Micros),
    /// The bound of wall time of the run was reached first.
    OutOfTime,
}

/// Cost of a span of virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Length of the span, virtual microseconds.
    pub span: Micros,
    /// Bytes sent by all members.
    pub bytes: u64,
    /// Most bytes that one member sent within a second.
    pub worst_bytes_per_s: u64,
    /// Time spent in the state machines of all members.
    pub processor: Duration,
}

/// The fleet and its meters.
pub struct Fleet {
    net: VirtualNetwork<TimedView>,
    settings: MembershipSettings,
    layout: Layout,
    meter: ByteMeter,
    deadline: Instant,
    /// Processor time of members that no longer run.
    ended: Duration,
    next_step: Micros,
}

impl Fleet {
    /// A fleet of which no member is started; it ends waits at `deadline`.
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

    /// The numbers of all members.
    pub fn members(&self) -> Vec<MemberId> {
        self.net.node_ids().collect()
    }

    /// A member's view, if it runs.
    pub fn view(&self, member: MemberId) -> Option<&Membership> {
        self.net.node(member).map(|timed| &timed.view)
    }

    /// Starts members, without any state of an earlier run.
    ///
    /// # Errors
    /// If the settings are invalid.
    pub fn start(&mut self, members: &[MemberId]) -> Result<(), SettingsError> {
        for &own in members {
            // A restart must not have an earlier start time than the run before it, so restarts come after the day.
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

    /// Kills members, which don't announce that they leave.
    pub fn kill(&mut self, members: &[MemberId]) {
        for member in members {
            let ended = self.net.kill(*member);
            self.count_ended(ended);
        }
    }

    /// Partitions the regions from each other, or heals the partition.
    pub fn set_regions_partitioned(&mut self, partitioned: bool) {
        self.net.set_delays(self.layout.delays(partitioned));
    }

    /// Lets virtual time pass.
    pub fn advance_by(&mut self, span: Micros) {
        let until = self.net.now + span;
        while self.net.now < until && !self.is_out_of_time() {
            self.advance(until);
        }
    }

    /// Waits until all running members agree, at most `bound` microseconds.
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

    /// Whether all running members hold the same view, and exactly the running members are live in it. Views are
    /// compared by their digests; only one of them is checked entry by entry.
    pub fn is_agreed(&self) -> bool {
        let mut views = self.net.node_ids().filter_map(|member| self.view(member));
        let Some(first) = views.next() else { return true };
        views.all(|view| view.digest() == first.digest())
            && self.net.node_ids().all(|member| {
                first.members()[usize::from(member)].state.is_live() == self.net.node(member).is_some()
            })
    }

    /// Share of the entries, over all views of running members, that state correctly whether a member runs; 0 to 1.
    pub fn correct_share(&self) -> f64 {
        let views: Vec<_> = self.net.node_ids().filter_map(|member| self.view(member)).collect();
        let up: Vec<_> = self.net.node_ids().map(|member| self.net.node(member).is_some()).collect();
        let correct_entries = |view: &&Membership| {
            view.members().iter().zip(&up).filter(|(entry, up)| entry.state.is_live() == **up).count()
        };
        views.iter().map(correct_entries).sum::<usize>() as f64 / (views.len() * up.len()).max(1) as f64
    }

    /// Whether the run has reached its bound of wall time.
    pub fn is_out_of_time(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Runs `act` and returns its result and cost.
    pub fn measure<T>(&mut self, act: impl FnOnce(&mut Self) -> T) -> (T, Cost) {
        self.meter.take_sum();
        self.meter.take_worst();
        let (from, before) = (self.net.now, self.spent());
        let result = act(self);
        let cost = Cost {
            span: self.net.now - from,
            bytes: self.meter.take_sum(),
            worst_bytes_per_s: self.meter.take_worst(),
            processor: self.spent() - before,
        };
        (result, cost)
    }

    fn advance(&mut self, until: Micros) {
        let next = (self.net.now + CHECK_INTERVAL_US).min(until).min(self.next_step);
        self.net.run_until(next);
        // Outputs are not used; millions of them would take most of the memory.
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
