//! A fleet of views in virtual time: one seed, one history. Members are killed, started, paused, cut off; their
//! datagrams are lost, doubled and late; their clocks run apart.

use crate::settings::FleetSettings;
use crate::types::{Micros, Number, State};
use crate::view::{Counts, Output, View};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// What becomes of datagrams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Share of them that is lost.
    pub lost: f64,
    /// Share that comes twice.
    pub doubled: f64,
    /// They are late by a time drawn between these.
    pub late: (Micros, Micros),
}

impl Default for Link {
    /// As on the platform.
    fn default() -> Self {
        Self { lost: 0.0, doubled: 0.0, late: (1_200, 33_000) }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Datagram { to: Number, from: Number, bytes: Vec<u8> },
    Wake(Number),
    Resume(Number),
}

struct Member {
    view: Option<View>,
    /// How often it was started.
    lives: u32,
    /// When it is woken next; other wakes are void.
    armed: Micros,
    paused: bool,
    /// Its clock's rate against the world's.
    rate: f64,
    /// Datagrams that came while it was paused.
    inbox: Vec<(Number, Vec<u8>)>,
    /// What earlier lives have counted.
    before: Counts,
}

impl Member {
    fn new() -> Self {
        let (inbox, before) = (Vec::new(), Counts::default());
        Self { view: None, lives: 0, armed: Micros::MAX, paused: false, rate: 1.0, inbox, before }
    }
}

/// The fleet and its network.
pub struct World {
    settings: FleetSettings,
    /// Datagrams between all.
    pub link: Link,
    /// Ways that carry nothing.
    blocked: BTreeSet<(Number, Number)>,
    /// The world's time.
    pub now: Micros,
    members: Vec<Member>,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    sequence: u64,
    rng: StdRng,
    /// Changes that views told, with time and whose view it is.
    pub changes: Vec<(Micros, Number, Output)>,
    /// Longest datagram seen.
    pub longest: usize,
}

/// The platform's wall clock at the world's beginning, in milliseconds since the beginning of 2026.
const EPOCH_MS: u64 = 28_000_000_000;

impl World {
    /// So many members by these settings, none of them started.
    pub fn new(settings: FleetSettings, link: Link) -> Self {
        Self {
            members: (0..settings.size).map(|_| Member::new()).collect(),
            rng: StdRng::seed_from_u64(settings.seed),
            settings,
            link,
            blocked: BTreeSet::new(),
            now: 1_000_000,
            due: BinaryHeap::new(),
            sequence: 0,
            changes: Vec::new(),
            longest: 0,
        }
    }

    /// Members by number.
    pub fn numbers(&self) -> std::ops::Range<Number> {
        0..self.settings.size
    }

    /// The view of a member that is up.
    pub fn view(&self, of: Number) -> Option<&View> {
        self.members[usize::from(of)].view.as_ref()
    }

    /// Plants a fault in a member that is up, see [`View::plant`].
    #[doc(hidden)]
    pub fn plant(&mut self, of: Number, newer: crate::view::Newer) {
        self.members[usize::from(of)].view.iter_mut().for_each(|view| view.plant(newer));
    }

    /// Whether it runs and is not paused.
    pub fn is_up(&self, of: Number) -> bool {
        let member = &self.members[usize::from(of)];
        member.view.is_some() && !member.paused
    }

    /// The configured list grows, or loses its last members, who end. Members hear of it by
    /// [`View::resize`](crate::View::resize), each in its time; who starts from now on has the new list.
    pub fn resize(&mut self, size: Number) {
        (size..self.settings.size).for_each(|of| self.kill(of));
        self.settings.size = size;
        self.members.resize_with(size.into(), Member::new);
    }

    /// How often it was started.
    pub fn lives(&self, of: Number) -> u32 {
        self.members[usize::from(of)].lives
    }

    /// Its clock runs at this rate from its next start on.
    pub fn set_rate(&mut self, of: Number, rate: f64) {
        self.members[usize::from(of)].rate = rate;
    }

    fn clock(&self, of: Number) -> Micros {
        (self.now as f64 * self.members[usize::from(of)].rate) as Micros
    }

    fn later(&mut self, at: Micros, due: Due) {
        self.sequence += 1;
        self.due.push(Reverse((at, self.sequence, due)));
    }

    /// Starts a member, which knows nothing of an earlier life.
    pub fn start(&mut self, of: Number) {
        self.start_with(of, EPOCH_MS + self.now / 1_000);
    }

    /// As [`World::start`], with a wall clock that says this many milliseconds.
    pub fn start_with(&mut self, of: Number, start: u64) {
        self.kill(of);
        let settings = FleetSettings { own: of, start, ..self.settings };
        let view = View::new(settings, self.clock(of)).ok();
        let member = &mut self.members[usize::from(of)];
        (member.view, member.paused, member.lives) = (view, false, member.lives + 1);
        self.arm(of);
    }

    /// Kills a member outright.
    pub fn kill(&mut self, of: Number) {
        let member = &mut self.members[usize::from(of)];
        if let Some(view) = member.view.take() {
            member.before = sum(member.before, view.counts());
        }
        member.armed = Micros::MAX;
        member.inbox.clear();
    }

    /// A member leaves in good order: it says so, and a little later that it is no more.
    pub fn stop(&mut self, of: Number) {
        let (now, mut out) = (self.clock(of), Vec::new());
        if let Some(view) = &mut self.members[usize::from(of)].view {
            view.stop(now, &mut out);
        }
        self.carry_out(of, out);
        self.kill(of);
    }

    /// A member stands still for this long.
    pub fn pause(&mut self, of: Number, span: Micros) {
        self.members[usize::from(of)].paused = true;
        self.later(self.now + span, Due::Resume(of));
    }

    /// Cuts a group off from all others, or takes it up again.
    pub fn cut(&mut self, group: &[Number], cut: bool) {
        for of in group {
            for other in self.numbers().filter(|other| !group.contains(other)) {
                for way in [(*of, other), (other, *of)] {
                    if cut {
                        self.blocked.insert(way)
                    } else {
                        self.blocked.remove(&way)
                    };
                }
            }
        }
    }

    /// A way in one direction carries nothing, or does again.
    pub fn block(&mut self, way: (Number, Number), blocked: bool) {
        if blocked {
            self.blocked.insert(way);
        } else {
            self.blocked.remove(&way);
        }
    }

    fn arm(&mut self, of: Number) {
        let now = self.now;
        let member = &mut self.members[usize::from(of)];
        let Some(view) = &member.view else { return };
        let at = ((view.next_due() as f64 / member.rate) as Micros + 1).max(now);
        if at < member.armed {
            member.armed = at;
            self.later(at, Due::Wake(of));
        }
    }

    fn carry_out(&mut self, of: Number, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, .. } if to >= self.settings.size => {}
                Output::Send { to, bytes } => {
                    self.longest = self.longest.max(bytes.len());
                    let copies = match (self.rng.random::<f64>(), self.rng.random::<f64>()) {
                        (lost, _) if lost < self.link.lost || self.blocked.contains(&(of, to)) => 0,
                        (_, doubled) if doubled < self.link.doubled => 2,
                        _ => 1,
                    };
                    for _ in 0..copies {
                        let late = self.rng.random_range(self.link.late.0..=self.link.late.1);
                        self.later(self.now + late, Due::Datagram { to, from: of, bytes: bytes.clone() });
                    }
                }
                told @ Output::Changed { .. } => self.changes.push((self.now, of, told)),
            }
        }
    }

    /// Has a member that runs do something, at its own time.
    pub fn act(&mut self, of: Number, act: impl FnOnce(&mut View, Micros, &mut Vec<Output>)) {
        let (now, mut out) = (self.clock(of), Vec::new());
        if let Some(view) = &mut self.members[usize::from(of)].view {
            act(view, now, &mut out);
        }
        self.carry_out(of, out);
        self.arm(of);
    }

    /// Runs until this time of the world.
    pub fn run(&mut self, until: Micros) {
        while let Some(Reverse((at, ..))) = self.due.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, due))) = self.due.pop() else { return };
            self.now = at;
            match due {
                Due::Datagram { to, .. } | Due::Wake(to) | Due::Resume(to) if to >= self.settings.size => {}
                Due::Datagram { to, from, bytes } => {
                    let member = &mut self.members[usize::from(to)];
                    // A socket holds some for who stands still.
                    if member.paused && member.view.is_some() && member.inbox.len() < 200 {
                        member.inbox.push((from, bytes));
                    } else if !member.paused {
                        self.act(to, |view, now, out| view.handle(now, from, &bytes, out));
                    }
                }
                Due::Wake(of) => {
                    let member = &mut self.members[usize::from(of)];
                    if member.armed == at && !member.paused {
                        member.armed = Micros::MAX;
                        self.act(of, |view, now, out| view.wake(now, out));
                    }
                }
                Due::Resume(of) => {
                    let member = &mut self.members[usize::from(of)];
                    if std::mem::take(&mut member.paused) {
                        member.armed = Micros::MAX;
                        for (from, bytes) in std::mem::take(&mut member.inbox) {
                            self.act(of, |view, now, out| view.handle(now, from, &bytes, out));
                        }
                        self.arm(of);
                    }
                }
            }
        }
        self.now = until;
    }

    /// Runs until a condition holds, looked at every 10 ms; when, or `None` where it does not by `until`.
    pub fn run_until(&mut self, until: Micros, holds: impl Fn(&Self) -> bool) -> Option<Micros> {
        while self.now < until {
            self.run((self.now + 10_000).min(until));
            if holds(self) {
                return Some(self.now);
            }
        }
        None
    }

    /// Whether each member of a group that runs holds the same view, and a true one: live are those of the
    /// group that run, and no others.
    pub fn agrees(&self, group: &[Number]) -> bool {
        let up: Vec<_> = group.iter().copied().filter(|of| self.is_up(*of)).collect();
        let digest = up.first().and_then(|of| self.view(*of)).map(View::digest);
        up.iter().all(|of| {
            let view = self.view(*of);
            view.is_some_and(|view| {
                let live =
                    |other: Number| view.entries().get(usize::from(other)).is_some_and(|e| e.state.is_live());
                Some(view.digest()) == digest
                    && self.numbers().all(|other| live(other) == up.contains(&other))
            })
        })
    }

    /// Whether any running member holds another that runs for gone.
    pub fn wrong(&self) -> Vec<(Number, Number)> {
        let up: Vec<_> = self.numbers().filter(|of| self.is_up(*of)).collect();
        let gone = |of: &Number, other: &Number| {
            let entry = |view: &View| view.entries().get(usize::from(*other)).map(|e| e.state);
            self.view(*of).and_then(entry) == Some(State::Gone)
        };
        let pairs = up.iter().flat_map(|of| up.iter().map(move |other| (*of, *other)));
        pairs.filter(|(of, other)| gone(of, other)).collect()
    }

    /// What all lives of all members have counted.
    pub fn counts(&self) -> Counts {
        self.members.iter().fold(Counts::default(), |all, member| {
            let own = member.view.as_ref().map(View::counts).unwrap_or_default();
            sum(sum(all, member.before), own)
        })
    }
}

fn sum(a: Counts, b: Counts) -> Counts {
    Counts {
        sent: (a.sent.0 + b.sent.0, a.sent.1 + b.sent.1),
        taken: a.taken + b.taken,
        dropped: a.dropped + b.dropped,
        suspected: a.suspected + b.suspected,
        gone: a.gone + b.gone,
        refuted: a.refuted + b.refuted,
        twins: a.twins + b.twins,
        stalls: a.stalls + b.stalls,
    }
}
