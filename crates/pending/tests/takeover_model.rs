//! Lease, take-over and return, checked exhaustively by the transitions of the code: three sites of a gateway each, one
//! unsafe event of the first. Its view is of no help: sites count as lost at any moment, the voters permit any of two
//! to be taken over whenever it likes. Words are late for any time or never come; a holder restarts and knows nothing;
//! the owner stands still before its first byte, or returns as another life, and the client repeats the event there.
use basaltward_membership::{MemberId, Micros, SiteMap};
use basaltward_pending::{
    Accepted, Entry, HolderPromises, JournalSnapshot, Key, Lease, LeaseTerms, Recovery, RecoveryFault,
    RecoveryOutput, RecoverySettings, Rejoin, RejoinAction, RepeatSafety, Source, Step, TakeoverAction,
    TakeoverFault, TakeoverMessage, TakeoverMonitor,
};
use basaltward_permits::{Observation, Observations, Permit, PermitState, Subject};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

const TICK: Micros = 1_000_000;
const TERMS: LeaseTerms = LeaseTerms { lease: 2 * TICK, promise: 3 * TICK };
const KEY: Key = Key(7);
/// Ticks at the beginning: every holder has been up for longer than a silence.
const START: u64 = 4;

/// EntryCount of the owner's journal: none, accepted, and accepted with its first byte announced.
type EntryCount = u8;

/// What is on its way for good.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Packet {
    /// From a writer to a holder, asked at this tick.
    Append(MemberId, EntryCount, u64),
    /// Back.
    Ack(MemberId, EntryCount, u64),
}

/// A gateway of another site.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holder {
    life: u64,
    promises: HolderPromises,
    watch: TakeoverMonitor,
    heirs: Recovery,
    /// What it holds of the owner's journal, and of the other holder's.
    holds: EntryCount,
    of_other: EntryCount,
    /// The event is its own to run, its first byte is announced, and until when it may leave.
    adopted: bool,
    announced: bool,
    lease: Lease,
}

/// The owner: its first life, and what a later one has learnt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    lines: EntryCount,
    lease: Lease,
    acked: [EntryCount; 2],
    sent: bool,
    /// It has looked at its lease and has not written yet.
    cleared: bool,
    back: Option<(Rejoin, Recovery)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    now: u64,
    owner: Owner,
    holders: [Holder; 2],
    permit_state: PermitState,
    /// What each holder knows of it.
    known: [PermitState; 2],
    /// Whether it sees the first site as lost, rightly or not.
    sees: [bool; 2],
    words: BTreeSet<Packet>,
    told: Vec<(MemberId, MemberId, TakeoverMessage)>,
    restarts: u8,
    /// First bytes of the event, whether one was an heir's, and whether one left after an end was told.
    sends: u8,
    by_heir: bool,
    ended: bool,
    late: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ModelAction {
    Tick,
    /// The owner writes its next line.
    Write,
    Deliver(Packet),
    Tell(usize),
    /// The voters permit a site to be taken over; a holder learns of it.
    Permit(MemberId),
    Learn(usize),
    /// One sees the first site as lost.
    See(usize),
    /// A first byte: of the owner, of an heir that has adopted the event, which announces it before.
    Send,
    /// The owner looks at its lease, and stands still before it writes.
    Clear,
    Announce(usize),
    HeirSends(usize),
    Restart(usize),
    Return,
    Home,
    /// A client repeats the event at the owner that has returned.
    Repeat,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    Nothing,
    LeaseByTheWallClock,
    RunsWhatWasSent,
    TakeOverByTheViewAlone,
    AckBeforeStored,
    HomeWithoutLearning,
}

struct TakeoverModel {
    planted: InjectedFault,
    ticks: u64,
    restarts: u8,
    /// Permits for the second site as well.
    second: bool,
    /// The owner may stand still between its look at the lease and its first byte.
    stalls: bool,
    returns: bool,
    /// How far its journal is written and held at the beginning, and whether it goes on.
    lines: EntryCount,
    writes: bool,
}

fn places(own: MemberId) -> SiteMap {
    SiteMap::new(vec![0, 1, 2], own).expect("in the list")
}

fn settings(own: MemberId, life: u64) -> RecoverySettings {
    RecoverySettings {
        site_map: places(own),
        life,
        holders: vec![2],
        clock_skew_ms: 0,
        concurrency: 8,
        rate: 1_000_000,
        retention_ms: 1_000_000,
    }
}

fn accepted() -> Accepted {
    Accepted {
        key: KEY,
        class: 0,
        tenant: 0,
        function: String::new(),
        repeat_safety: RepeatSafety::Unsafe,
        finish_without_client: true,
        deadline: 1_000_000,
        event: Vec::new(),
    }
}

/// What a holder has of a journal.
fn copy(gateway: MemberId, life: u64, lines: EntryCount) -> Vec<JournalSnapshot> {
    let source = Source { gateway, life };
    let steps =
        [Step::Accepted(accepted()), Step::Sending { key: KEY, attempt: 0, worker: String::new(), at: 1 }];
    let entry = |(at, step)| Entry { source, number: at as u64 + 1, chain: at as u64 + 1, step };
    let entries: Vec<Entry> = steps.into_iter().take(lines.into()).enumerate().map(entry).collect();
    let through = u64::from(lines);
    let whole = JournalSnapshot { source, through, head: through, silent_for: 0, entries };
    if lines == 0 { Vec::new() } else { vec![whole] }
}

impl TakeoverModel {
    fn holder(&self, of: MemberId, now: Micros, life: u64) -> Holder {
        let mut heirs = Recovery::new(&settings(of, life), if life == 1 { 0 } else { now });
        let mut watch = TakeoverMonitor::new(&places(of));
        match self.planted {
            InjectedFault::RunsWhatWasSent => heirs.inject_fault(RecoveryFault::RunsWhatWasSent),
            InjectedFault::TakeOverByTheViewAlone => watch.inject_fault(TakeoverFault::IgnoresPermits),
            _ => {}
        }
        let promises = HolderPromises::new(TERMS, if life == 1 { 0 } else { now });
        let lease = Lease::new(TERMS);
        Holder {
            life,
            promises,
            watch,
            heirs,
            holds: 0,
            of_other: 0,
            adopted: false,
            announced: false,
            lease,
        }
    }

    /// The owner sends what it has to each holder, which asks for a lease as well. It does so when it writes: asked
    /// again it would have a later lease, with all as before by so much later.
    fn beat(world: &mut ModelState) {
        if world.owner.back.is_some() {
            return;
        }
        for of in 1..3 {
            let lines = world.owner.lines;
            world.words.retain(|said| !matches!(said, Packet::Append(to, ..) if *to == of));
            world.words.insert(Packet::Append(of, lines, world.now));
        }
    }

    fn settle(&self, world: &mut ModelState) {
        let now = world.now * TICK;
        for at in 0..2 {
            let of = at as MemberId + 1;
            let used = (!world.sees[at]).then_some(0);
            let seen = Observation {
                zone: 0,
                incarnation: 0,
                in_use_for: used,
                holds_last_copy: false,
                running_version: None,
            };
            let observations: Observations = [(Subject::Site(0), seen)].into();
            let holder = &mut world.holders[at];
            let (mut turns, mut out) = (Vec::new(), Vec::new());
            let Holder { promises, watch, .. } = holder;
            watch.update(now, &observations, &world.known[at], |_| 1, promises, &mut turns);
            for turn in turns {
                if let TakeoverAction::Begin { lives, .. } = turn {
                    for (lost, life) in lives {
                        let lines = if lost == 0 { holder.holds } else { holder.of_other };
                        holder.heirs.take_over(now, lost, life, true, copy(lost, life, lines));
                    }
                }
            }
            holder.heirs.wake(now, world.now, &mut out);
            Self::put(world, of, out);
        }
    }

    fn put(world: &mut ModelState, of: MemberId, out: Vec<RecoveryOutput>) {
        for heir in out {
            match heir {
                // What asks whether anybody holds a journal bears on no event.
                RecoveryOutput::Send(
                    _,
                    TakeoverMessage::HoldsQuery(..) | TakeoverMessage::HoldsReply(..),
                ) => {}
                RecoveryOutput::Send(to, word) => {
                    let told = (of, to, word);
                    // The same word again, but for the age that it tells.
                    let same = |(from, of, word): &(MemberId, MemberId, TakeoverMessage)| {
                        let like = std::mem::discriminant(word) == std::mem::discriminant(&told.2);
                        (*from, *of) == (told.0, told.1) && like
                    };
                    world.told.retain(|known| !same(known));
                    world.told.push(told);
                    world.told.sort_by_key(|(from, to, word)| {
                        (*from, *to, matches!(word, TakeoverMessage::Claim(_)))
                    });
                }
                RecoveryOutput::Adopt { .. } if of > 0 => world.holders[usize::from(of) - 1].adopted = true,
                RecoveryOutput::Resolved { .. } => world.ended = true,
                RecoveryOutput::ReturnLearned(from) => {
                    if let Some((home, _)) = &mut world.owner.back {
                        home.on_peer_answered(from);
                    }
                }
                RecoveryOutput::Adopt { .. } | RecoveryOutput::JournalLoss(_) => {}
            }
        }
    }

    fn first_byte(world: &mut ModelState) {
        world.sends += 1;
        world.late |= world.ended;
    }

    fn lease_clock(&self, world: &ModelState) -> Micros {
        let now = world.now * TICK;
        // InjectedFault: a wall clock that somebody puts back by two ticks at the sixth.
        let back =
            if self.planted == InjectedFault::LeaseByTheWallClock && world.now >= 6 { 2 * TICK } else { 0 };
        now - back
    }

    fn may(&self, world: &ModelState) -> bool {
        let owner = &world.owner;
        owner.back.is_none()
            && !owner.sent
            && owner.acked == [2, 2]
            && owner.lease.allows_send(self.lease_clock(world), 2)
    }

    fn deliver(&self, world: &mut ModelState, said: Packet) {
        let now = world.now * TICK;
        match said {
            Packet::Append(of, lines, asked) => {
                let holder = &mut world.holders[usize::from(of) - 1];
                if holder.promises.grant(now, 0, 1).is_ok() {
                    let unstored = self.planted == InjectedFault::AckBeforeStored && lines == 2;
                    holder.holds = holder.holds.max(if unstored { 1 } else { lines });
                    world.words.retain(|said| !matches!(said, Packet::Ack(from, ..) if *from == of));
                    world.words.insert(Packet::Ack(of, lines, asked));
                }
            }
            Packet::Ack(of, lines, asked) => {
                let life = world.holders[usize::from(of) - 1].life;
                let owner = &mut world.owner;
                owner.lease.record_grant(now, of, life, asked * TICK);
                let acked = &mut owner.acked[usize::from(of) - 1];
                *acked = lines.max(*acked);
            }
        }
    }

    fn tell(&self, world: &mut ModelState, at: usize) {
        let (from, to, word) = world.told[at].clone();
        let now = world.now * TICK;
        let mut out = Vec::new();
        match to {
            0 => {
                if let Some((_, heirs)) = &mut world.owner.back {
                    heirs.handle_message(now, from, word, |_, _| Vec::new(), &mut out);
                }
            }
            _ => {
                let holder = &mut world.holders[usize::from(to) - 1];
                if matches!(word, TakeoverMessage::ReturnQuery { .. })
                    && !holder.promises.has_expired(now, from)
                {
                    return;
                }
                let (holds, of_other) = (holder.holds, holder.of_other);
                let copies =
                    |of: MemberId, life: u64| copy(of, life.min(1), if of == 0 { holds } else { of_other });
                if let TakeoverMessage::ReturnQuery { life, .. } = word {
                    holder.promises.fence(from, life);
                }
                holder.heirs.handle_message(now, from, word, copies, &mut out);
            }
        }
        Self::put(world, to, out);
    }

    fn announce(world: &mut ModelState, at: usize) -> bool {
        let (of, now) = (at as MemberId + 1, world.now * TICK);
        let life = world.holders[at].life;
        let away = world.holders[at].watch.has_begun(Subject::Site(2 - at as u8));
        let other = &mut world.holders[1 - at];
        if !away {
            if other.promises.grant(now, of, life).is_err() {
                return false;
            }
            other.of_other = 2;
            let other_life = other.life;
            world.holders[at].lease.record_grant(now, 2 - at as MemberId, other_life, now);
        }
        world.holders[at].announced = true;
        true
    }
}

impl Model for TakeoverModel {
    type State = ModelState;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<ModelState> {
        let lease = Lease::new(TERMS);
        let owner = Owner { lines: 0, lease, acked: [0; 2], sent: false, cleared: false, back: None };
        let holders = [1, 2].map(|of| self.holder(of, 0, 1));
        let mut world = ModelState {
            now: START,
            owner,
            holders,
            permit_state: PermitState::default(),
            known: [PermitState::default(), PermitState::default()],
            // One that sees it lost asks for the permit, which the voters give whenever they like.
            sees: [self.planted != InjectedFault::TakeOverByTheViewAlone; 2],
            words: BTreeSet::new(),
            told: Vec::new(),
            restarts: self.restarts,
            sends: 0,
            by_heir: false,
            ended: false,
            late: false,
        };
        for line in 1..=self.lines {
            let held = [1, 2].map(|of| ModelAction::Deliver(Packet::Append(of, line, START)));
            for act in [ModelAction::Write].into_iter().chain(held) {
                world = self.next_state(&world, act).expect("it changes");
            }
        }
        if self.returns {
            // Its lease is over: what it has announced, it has sent.
            world.now += 2;
            (world.sends, world.owner.sent) = (self.lines - 1, self.lines == 2);
        }
        vec![world]
    }

    fn actions(&self, world: &ModelState, acts: &mut Vec<ModelAction>) {
        acts.extend((world.now < START + self.ticks).then_some(ModelAction::Tick));
        let owner = &world.owner;
        if owner.lines < 2 && owner.back.is_none() && self.writes {
            acts.push(ModelAction::Write);
        }
        acts.extend(world.words.iter().cloned().map(ModelAction::Deliver));
        acts.extend((0..world.told.len()).map(ModelAction::Tell));
        for of in [0, 1] {
            if world.permit_state.permit(Subject::Site(of)).is_none() && (of == 0 || self.second) {
                acts.push(ModelAction::Permit(of.into()));
            }
        }
        acts.extend((0..2).filter(|at| world.known[*at] != world.permit_state).map(ModelAction::Learn));
        acts.extend((0..2).filter(|at| !world.sees[*at]).map(ModelAction::See));
        if self.may(world) && !owner.cleared {
            acts.push(if self.stalls { ModelAction::Clear } else { ModelAction::Send });
        }
        if owner.cleared && !owner.sent && owner.back.is_none() {
            acts.push(ModelAction::Send);
        }
        for at in 0..2 {
            let holder = &world.holders[at];
            if holder.adopted && !holder.announced {
                acts.push(ModelAction::Announce(at));
            }
            let away = holder.watch.has_begun(Subject::Site(2 - at as u8));
            if holder.announced
                && holder.adopted
                && holder.lease.allows_send(world.now * TICK, usize::from(!away))
            {
                acts.push(ModelAction::HeirSends(at));
            }
            if world.restarts > 0 {
                acts.push(ModelAction::Restart(at));
            }
        }
        if self.returns && owner.back.is_none() {
            acts.push(ModelAction::Return);
        }
        if let Some((home, heirs)) = &owner.back {
            acts.push(ModelAction::Home);
            let learnt = home.is_ready() || self.planted == InjectedFault::HomeWithoutLearning;
            if learnt && heirs.event_status(KEY).is_none() && !owner.sent {
                acts.push(ModelAction::Repeat);
            }
        }
    }

    fn next_state(&self, last: &ModelState, act: ModelAction) -> Option<ModelState> {
        let mut world = last.clone();
        match act {
            ModelAction::Tick => world.now += 1,
            ModelAction::Write => {
                world.owner.lines += 1;
                Self::beat(&mut world);
            }
            ModelAction::Deliver(said) => {
                world.words.remove(&said);
                self.deliver(&mut world, said);
            }
            ModelAction::Tell(at) => {
                self.tell(&mut world, at);
                if world.told.get(at) == last.told.get(at) {
                    world.told.remove(at);
                }
            }
            ModelAction::Permit(of) => {
                let number = world.permit_state.last_number + 1;
                let permit =
                    Permit { subject: Subject::Site(of as u8), number, incarnation: 0, returned: false };
                let _ = world.permit_state.add(permit);
                world.permit_state.last_number = number;
            }
            ModelAction::Learn(at) => world.known[at] = world.permit_state.clone(),
            ModelAction::See(at) => world.sees[at] = true,
            ModelAction::Clear => world.owner.cleared = true,
            ModelAction::Send => {
                world.owner.sent = true;
                Self::first_byte(&mut world);
            }
            ModelAction::Announce(at) => {
                if !Self::announce(&mut world, at) {
                    return None;
                }
            }
            ModelAction::HeirSends(at) => {
                world.holders[at].adopted = false;
                world.by_heir = true;
                Self::first_byte(&mut world);
            }
            ModelAction::Restart(at) => {
                world.restarts -= 1;
                let life = world.holders[at].life + 1;
                world.holders[at] = self.holder(at as MemberId + 1, world.now * TICK, life);
                world.known[at] = PermitState::default();
                let of = at as MemberId + 1;
                world.told.retain(|(from, to, _)| *from != of && *to != of);
                world.words.retain(|said| !matches!(said, Packet::Ack(from, ..) if *from == of));
                // The connection tells the owner of it: nothing that the earlier life acknowledged counts.
                world.owner.acked[at] = 0;
                world.owner.lease.revoke(of);
            }
            ModelAction::Return => {
                let now = world.now * TICK;
                world.owner.lease.revoke_all();
                world.owner.sent = false;
                world.words.clear();
                world.owner.back = Some((Rejoin::new(&places(0), now), Recovery::new(&settings(0, 2), now)));
            }
            ModelAction::Home => {
                let (now, permit_state) = (world.now * TICK, world.permit_state.clone());
                let (home, _) = world.owner.back.as_mut()?;
                let mut steps = Vec::new();
                home.wake(now, &[1, 2], &mut steps);
                for step in steps {
                    match step {
                        RejoinAction::Reclaim(subject) => {
                            home.on_reclaim_reply(
                                subject,
                                permit_state.permit(subject).map_or(0, |permit| permit.number),
                            );
                        }
                        RejoinAction::QueryPeer(to) => {
                            world.told.retain(|(from, of, _)| (*from, *of) != (0, to));
                            world.told.push((0, to, TakeoverMessage::ReturnQuery { life: 1, after: None }));
                        }
                        RejoinAction::ReturnPermit(subject, _) => {
                            world.permit_state.remove(subject);
                            home.on_permit_returned(subject);
                        }
                        RejoinAction::Ready => {}
                    }
                }
            }
            ModelAction::Repeat => {
                world.owner.sent = true;
                Self::first_byte(&mut world);
            }
        }
        self.settle(&mut world);
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("sent once", |_, world: &ModelState| world.sends < 2),
            Property::<Self>::always("no byte after its end was told", |model, world: &ModelState| {
                model.stalls || !world.late
            }),
            Property::<Self>::sometimes("an heir tells an end", |_, world: &ModelState| world.ended),
            Property::<Self>::sometimes("an heir runs it", |_, world: &ModelState| world.by_heir),
            Property::<Self>::sometimes("its owner runs it", |_, world: &ModelState| world.owner.sent),
        ]
    }
}

/// How long histories are, `HEIRS_TICKS=4 cargo test --release`, and at how many states of a return is looked at,
/// shortest histories first: `HEIRS_STATES=5000000`.
fn states() -> usize {
    std::env::var("HEIRS_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(20_000)
}

fn ticks(usual: u64) -> u64 {
    std::env::var("HEIRS_TICKS").ok().and_then(|n| n.parse().ok()).unwrap_or(usual)
}

fn check(model: TakeoverModel) -> impl Checker<TakeoverModel> {
    let faulty = model.planted != InjectedFault::Nothing;
    let until = if faulty { HasDiscoveries::AnyFailures } else { HasDiscoveries::All };
    let most = if model.returns { states() } else { usize::MAX };
    model.checker().threads(2).finish_when(until).target_state_count(most).spawn_bfs().join()
}

fn usual(planted: InjectedFault) -> TakeoverModel {
    TakeoverModel {
        planted,
        ticks: ticks(3),
        restarts: 0,
        second: false,
        stalls: false,
        returns: false,
        lines: 1,
        writes: true,
    }
}

fn holds(model: TakeoverModel) -> usize {
    let checked = check(model);
    let of = |name: &'static str| checked.discovery(name).map(|path| path.into_actions());
    assert_eq!(of("sent once"), None);
    assert_eq!(of("no byte after its end was told"), None);
    assert!(of("an heir tells an end").is_some() && of("an heir runs it").is_some());
    checked.unique_state_count()
}

#[test]
fn an_event_is_sent_once_whoever_is_taken_over() {
    let states = holds(usual(InjectedFault::Nothing));
    println!("{states} states");
    assert!(states > 1_000, "{states}");
}

#[test]
fn an_event_is_sent_once_though_its_owner_stands_still_before_it_writes() {
    let checked = check(TakeoverModel { stalls: true, ..usual(InjectedFault::Nothing) });
    assert!(checked.discovery("sent once").is_none());
    // What no clock can rule out: the byte leaves after a client was told that it may.
    assert!(checked.discovery("its owner runs it").is_some());
}

/// With what the owner has written when it falls silent: that it was accepted, or that it is about to be sent.
fn holds_from(model: impl Fn() -> TakeoverModel) {
    for lines in [1, 2] {
        let checked = check(TakeoverModel { lines, writes: false, ..model() });
        println!("{} states", checked.unique_state_count());
        assert!(checked.discovery("sent once").is_none());
        assert!(checked.discovery("no byte after its end was told").is_none());
        assert!(lines == 1 || checked.discovery("an heir runs it").is_none());
    }
}

#[test]
fn an_event_is_sent_once_though_one_that_would_take_over_is_lost_as_well() {
    holds_from(|| TakeoverModel { second: true, ..usual(InjectedFault::Nothing) });
}

#[test]
fn an_event_is_sent_once_though_a_holder_forgets() {
    holds_from(|| TakeoverModel { restarts: 1, ..usual(InjectedFault::Nothing) });
}

#[test]
fn an_event_is_sent_once_though_its_owner_returns_and_is_asked_again() {
    holds_from(|| TakeoverModel { returns: true, ..usual(InjectedFault::Nothing) });
}

#[test]
fn one_that_returns_and_does_not_ask_is_found() {
    let model =
        TakeoverModel { returns: true, lines: 2, writes: false, ..usual(InjectedFault::HomeWithoutLearning) };
    assert!(check(model).discovery("sent once").is_some());
}

fn found(planted: InjectedFault, name: &'static str) -> bool {
    check(usual(planted)).discovery(name).is_some()
}

#[test]
fn a_lease_by_the_wall_clock_is_found() {
    assert!(found(InjectedFault::LeaseByTheWallClock, "no byte after its end was told"));
}

#[test]
fn an_heir_that_runs_what_was_sent_is_found() {
    assert!(found(InjectedFault::RunsWhatWasSent, "sent once"));
}

#[test]
fn a_take_over_by_the_view_alone_is_found() {
    let model = TakeoverModel { ticks: 1, lines: 2, ..usual(InjectedFault::TakeOverByTheViewAlone) };
    assert!(check(model).discovery("no byte after its end was told").is_some());
}

#[test]
fn an_ack_before_the_line_is_stored_is_found() {
    assert!(found(InjectedFault::AckBeforeStored, "sent once"));
}
