//! What the fleet agrees on, on the loop: which workers are drained, and what operators ask for.

use crate::config::FleetConfig;
use crate::fellows::gap;
use crate::notes::Notes;
use basaltward_agreed::{
    AgreedSettings, Answered, Bounds, Denied, Epoch, Eyes, Fault, Halt, Look, Member, Output, Request,
    Response, Seen, Sight, Status, Subject, Told, Want, done, mark,
};
use basaltward_bulletin::{Roster, Standing, Target};
use basaltward_fleet::{DRAINS, FleetSettings, MOST, Number, RUNS, State, View, value_of};
use basaltward_net::{Clock, Io, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use tracing::info;

/// Operators' requests remembered; the oldest go.
const ERRANDS: usize = 64;
/// A worker that is gone counts as out for so long: by then it has been replaced, or is not meant to be.
const GONE_US: Micros = 300_000_000;
/// That is told so often, and no more often than this for each member.
const TELL_US: (Micros, Micros) = (1_000_000, 100_000);
/// Whoever starts uses no worker until it has heard what is drained, but for no longer than this: with nobody there to
/// tell, it serves. It asks this often.
const LEARN_US: (Micros, Micros) = (500_000, 50_000);
/// A member that has been gone for so long has nothing in hand any more: no call lasts so long.
const CLEAR_US: Micros = 60_000_000;

struct Errand {
    from: SocketAddr,
    theirs: u32,
    /// Of our question to the foreman.
    ours: u32,
    answer: Option<Answered>,
}

struct Worker {
    target: Target,
    /// Since when it has been as it is told to be.
    since: Micros,
}

/// See the module's page.
pub struct Agreement {
    member: Member,
    zones: Vec<String>,
    workers: BTreeMap<u32, Worker>,
    drained: BTreeSet<u32>,
    errands: VecDeque<Errand>,
    tell: Micros,
    /// Until when workers wait for what is drained, and when it is asked for again.
    learns: Option<(Micros, Micros)>,
    started: Micros,
    /// Zones of the schedulers, by number.
    peers_zones: Vec<u8>,
    /// The mark of the version that we run, and when it is told next.
    runs: u32,
    tell_runs: Micros,
    /// The latest that is recorded.
    noted: Option<(Epoch, u32)>,
    /// Workers no longer wait.
    released: bool,
    out: Vec<Output>,
}

impl Agreement {
    /// A member's part in a fleet of this view.
    pub fn new(
        fleet: &FleetSettings,
        (bounds, zones): (Bounds, Vec<String>),
        told: &FleetConfig,
        now: Micros,
    ) -> Option<Self> {
        let life =
            [fleet.start, fleet.seed, u64::from(std::process::id()), now].map(u64::to_le_bytes).concat();
        let settings = AgreedSettings {
            fleet: fleet.fleet,
            bounds,
            ..AgreedSettings::new(fleet.size, fleet.own, crc32fast::hash(&life), fleet.seed)
        };
        let member = Member::new(settings, now).ok()?;
        let (workers, drained, errands) = (BTreeMap::new(), BTreeSet::new(), VecDeque::new());
        let learns = (fleet.size > 1).then_some((now + LEARN_US.0, now));
        Some(Self {
            member,
            zones,
            workers,
            drained,
            errands,
            tell: now,
            learns,
            started: now,
            noted: None,
            runs: mark(&told.version),
            peers_zones: told.zones.clone(),
            tell_runs: now,
            released: false,
            out: Vec::new(),
        })
    }

    /// See [`Member::plant`].
    pub fn plant(&mut self, fault: Fault, now: Micros) {
        self.member.plant(fault, now);
    }

    /// A new configuration.
    pub fn reread(&mut self, bounds: Bounds, zones: &[u8]) {
        self.member.set_bounds(bounds);
        self.peers_zones = zones.to_vec();
    }

    pub fn next_due(&self) -> Micros {
        let tell = if self.drained.is_empty() { Micros::MAX } else { self.tell };
        let learns = self.learns.map_or(Micros::MAX, |(_, again)| again);
        self.member.next_due().min(tell).min(learns).min(self.tell_runs)
    }

    fn sight(workers: &BTreeMap<u32, Worker>, zones: &[String], now: Micros) -> Sight {
        let seen = |(tag, worker): (&u32, &Worker)| {
            let Target { az, boot_ms, state, .. } = &worker.target;
            let zone = zones.iter().position(|zone| zone == az).unwrap_or(zones.len()) as u8;
            let used = (*state == Standing::Ready).then(|| now.saturating_sub(worker.since));
            (
                Subject::Worker(*tag),
                Seen { zone, life: (boot_ms / 1_000) as u16, used, sole: false, runs: None },
            )
        };
        workers.iter().map(seen).collect()
    }

    fn act(&mut self, view: &View, act: impl FnOnce(&mut Member, &Look, &mut Vec<Output>)) {
        let (known, zones) = (&self.workers, &self.zones);
        let workers = move |now| Self::sight(known, zones, now);
        let wall_ms = (Clock::read().wall() / 1_000).saturating_sub(crate::fellows::EPOCH_MS);
        act(
            &mut self.member,
            &Look { view, zones: &self.peers_zones, workers: &workers, wall_ms },
            &mut self.out,
        );
    }

    /// A datagram of another member.
    pub fn handle(&mut self, view: &View, now: Micros, from: Number, bytes: &[u8]) {
        self.act(view, |member, look, out| {
            member.handle(now, from, bytes, look, out);
        });
    }

    /// Does what is due; tells what we have in hand for drained workers.
    pub fn wake(&mut self, view: &mut View, now: Micros, in_hand: impl FnOnce(&[&str]) -> usize) {
        if self.member.next_due() <= now {
            self.act(view, |member, look, out| member.wake(now, look, out));
        }
        if let Some((until, again)) = self.learns
            && now >= again
        {
            if now < until && !self.member.has_heard() {
                self.learns = Some((until, now + LEARN_US.1));
                self.member.recall(&mut self.out);
            } else {
                self.learns = None;
                self.released = true;
            }
        }
        if now >= self.tell_runs {
            let gap = gap(crate::fellows::TELL_US, view.entries().len());
            self.tell_runs = now + gap;
            view.tell_fact(now, RUNS, &value_of(&[self.runs.into()]), gap * 4);
        }
        if !self.drained.is_empty() && now >= self.tell {
            let gap = gap(TELL_US, view.entries().len());
            self.tell = now + gap;
            let names =
                self.drained.iter().filter_map(|tag| Some(self.workers.get(tag)?.target.uid.as_str()));
            let held = in_hand(&names.collect::<Vec<_>>());
            let at = self.member.known().map_or((0, 0), |known| (known.epoch.ms, known.version));
            view.tell_fact(now, DRAINS, &value_of(&[at.0, at.1.into(), held as u64]), gap * 4);
        }
    }

    /// A request of an operator.
    pub fn asked(
        &mut self,
        view: &View,
        now: Micros,
        from: SocketAddr,
        request: Request,
        io: &mut Io,
        socket: usize,
    ) {
        let mut reply = |told| {
            io.send_to(socket, from, &Response { tag: request.tag, told }.write());
        };
        let wish = match request.want {
            Want::Halt => {
                let halt = self.member.stop_all(&mut self.out);
                info!(count = halt.count, %from, "halted by an operator");
                return reply(Told::Halted(halt));
            }
            Want::Status => return reply(Told::Status(self.status(view, now))),
            Want::Wish(wish) => wish,
        };
        let same = |errand: &&Errand| errand.from == from && errand.theirs == request.tag;
        if let Some(errand) = self.errands.iter().find(same) {
            if let Some(answer) = errand.answer {
                reply(Told::Answer(answer));
            }
            return;
        }
        if self.errands.len() == ERRANDS {
            self.errands.pop_front();
        }
        let mut ours = 0;
        self.act(view, |member, look, out| ours = member.ask(now, wish, look, out));
        info!(%from, ?wish, "asked by an operator");
        self.errands.push_back(Errand { from, theirs: request.tag, ours, answer: None });
    }

    /// Members that may still have calls in hand for drained workers: who has not said since it knew of the latest
    /// that it has none, and has not been gone for so long that none can last.
    fn unclear(&self, view: &View, now: Micros) -> usize {
        let at = self.member.known().map_or((0, 0), |known| (known.epoch.ms, u64::from(known.version)));
        let unclear = |(of, entry): (usize, &basaltward_fleet::Entry)| {
            let told = view.fact(now, of as Number, DRAINS).and_then(basaltward_fleet::counters_of);
            let clear = told.is_some_and(|told| matches!(told[..], [ms, v, 0] if (ms, v) >= at));
            let ended = match entry.state {
                State::Stopped => true,
                State::Gone => now >= entry.since + CLEAR_US,
                // Never there, as far as we can have heard.
                State::Unknown => now >= self.started + CLEAR_US,
                _ => false,
            };
            !clear && !ended
        };
        view.entries().iter().enumerate().filter(|one| unclear(*one)).count()
    }

    fn status(&self, view: &View, now: Micros) -> Status {
        let (known, zones) = (&self.workers, &self.zones);
        let workers = move |now| Self::sight(known, zones, now);
        let look = Look { view, zones: &self.peers_zones, workers: &workers, wall_ms: 0 };
        let all = self.member.out(now, &look);
        let of_workers = all.iter().filter(|of| matches!(of, Subject::Worker(_))).count();
        let known = self.member.known();
        Status {
            own: view.own(),
            foreman: self.member.foreman(),
            at: known.map(|known| known.at()),
            halt: self.member.halt(),
            out: ((all.len() - of_workers) as u16, of_workers as u16),
            unclear: if self.drained.is_empty() { 0 } else { self.unclear(view, now) as u16 },
            plan: known.and_then(|known| known.value.plan).map(|plan| {
                let done = done(&plan, &look.sight(now));
                (plan, done as u16)
            }),
            permits: known.map(|known| known.value.permits.clone()).unwrap_or_default(),
        }
    }

    /// What the bulletin tells, as the module is to hear it: whoever is drained leaves.
    pub fn told(&mut self, now: Micros, roster: &Roster) -> Roster {
        if roster.all {
            let listed: BTreeSet<_> = roster.targets.iter().map(|target| mark(&target.uid)).collect();
            let absent = self.workers.iter_mut().filter(|(tag, _)| !listed.contains(tag));
            for worker in absent.map(|(_, worker)| worker).filter(|w| w.target.state != Standing::Gone) {
                (worker.target.state, worker.since) = (Standing::Gone, now);
            }
        }
        for target in &roster.targets {
            let same = |known: &&Worker| {
                known.target.state == target.state && known.target.boot_ms == target.boot_ms
            };
            let since = self.workers.get(&mark(&target.uid)).filter(same).map_or(now, |known| known.since);
            self.workers.insert(mark(&target.uid), Worker { target: target.clone(), since });
        }
        let kept = |tag: &u32, worker: &Worker| {
            worker.target.state != Standing::Gone
                || self.drained.contains(tag)
                || now < worker.since + GONE_US
        };
        self.workers.retain(|tag, worker| kept(tag, worker));
        let heard = roster.targets.iter().map(|target| self.heard(target)).collect();
        Roster { all: roster.all, targets: heard }
    }

    fn heard(&self, target: &Target) -> Target {
        let held = self.learns.is_some() || self.drained.contains(&mark(&target.uid));
        let drained = target.state == Standing::Ready && held;
        let state = if drained { Standing::Terminating } else { target.state };
        Target { state, ..target.clone() }
    }

    /// Sends what is to be sent, answers operators, and gives news of workers whose drain began or ended.
    pub fn carry_out(
        &mut self,
        io: &mut Io,
        now: Micros,
        notes: &Notes,
        socket: usize,
        peers: &[SocketAddr],
    ) -> Option<Roster> {
        let mut changed = false;
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Send { to, bytes } => {
                    debug_assert!(bytes.len() <= MOST);
                    if let Some(to) = peers.get(usize::from(to)) {
                        io.send_to(socket, *to, &bytes);
                    }
                }
                Output::Changed => changed = true,
                Output::Answered { tag, answer } => {
                    let errand = self.errands.iter_mut().find(|errand| errand.ours == tag);
                    if let Some(errand) = errand.filter(|errand| errand.answer.is_none()) {
                        errand.answer = Some(answer);
                        let told = Told::Answer(answer);
                        io.send_to(socket, errand.from, &Response { tag: errand.theirs, told }.write());
                    }
                }
            }
        }
        if std::mem::take(&mut self.released) {
            let _ = self.changed(now, notes);
            let targets = self.workers.values().map(|worker| self.heard(&worker.target)).collect();
            return Some(Roster { all: false, targets });
        }
        changed.then(|| self.changed(now, notes)).flatten()
    }

    fn changed(&mut self, now: Micros, notes: &Notes) -> Option<Roster> {
        let Halt { on, count } = self.member.halt();
        let known = self.member.known()?;
        if self.noted < Some(known.at()) {
            self.noted = Some(known.at());
            notes.agreed(now, known);
        }
        info!(
            by = known.epoch.by,
            version = known.version,
            permits = known.value.permits.len(),
            on,
            count,
            "agreed"
        );
        let drained: BTreeSet<u32> =
            self.workers.keys().filter(|tag| known.value.drains(**tag)).copied().collect();
        let before = std::mem::replace(&mut self.drained, drained);
        // Whoever asks hears soon how much is in hand.
        self.tell = now;
        let other = before.symmetric_difference(&self.drained).filter_map(|tag| self.workers.get(tag));
        let targets: Vec<_> = other.map(|worker| self.heard(&worker.target)).collect();
        (!targets.is_empty()).then_some(Roster { all: false, targets })
    }

    /// No foreman can be reached, as far as whoever asks need know.
    pub fn none(io: &mut Io, socket: usize, from: SocketAddr, tag: u32) {
        let told = Told::Answer(Err(Denied::NoForeman));
        io.send_to(socket, from, &Response { tag, told }.write());
    }
}
