//! Lease, take-over and return, checked exhaustively by the transitions of the code: three sites of a gateway each, one
//! unsafe event of the first. Its view is of no help: sites count as lost at any moment, the voters permit any of two
//! to be taken over whenever it likes. Words are late for any time or never come; a holder restarts and knows nothing;
//! the owner stands still before its first byte, or returns as another life, and the client repeats the event there.
use basaltward_membership::{MemberId, Micros, SiteMap};
use basaltward_pending::{
    Accepted, Again, Copy, Entry, Heir, Heirs, HeirsPlanted, HeirsSettings, Key, Lease, Promises, Return,
    ReturnStep, Source, Step, Terms, Turn, Watch, WatchPlanted, Word,
};
use basaltward_permits::{Observation, Observations, Permit, PermitState, Subject};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

const TICK: Micros = 1_000_000;
const TERMS: Terms = Terms { lease: 2 * TICK, silence: 3 * TICK };
const KEY: Key = Key(7);
/// Ticks at the beginning: every holder has been up for longer than a silence.
const START: u64 = 4;

/// Lines of the owner's journal: none, accepted, and accepted with its first byte announced.
type Lines = u8;

/// What is on its way for good.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Said {
    /// From a writer to a holder, asked at this tick.
    Lines(MemberId, Lines, u64),
    /// Back.
    Ack(MemberId, Lines, u64),
}

/// A gateway of another site.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holder {
    life: u64,
    promises: Promises,
    watch: Watch,
    heirs: Heirs,
    /// What it holds of the owner's journal, and of the other holder's.
    holds: Lines,
    of_other: Lines,
    /// The event is its own to run, its first byte is announced, and until when it may leave.
    adopted: bool,
    announced: bool,
    lease: Lease,
}

/// The owner: its first life, and what a later one has learnt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    lines: Lines,
    lease: Lease,
    acked: [Lines; 2],
    sent: bool,
    /// It has looked at its lease and has not written yet.
    cleared: bool,
    back: Option<(Return, Heirs)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    owner: Owner,
    holders: [Holder; 2],
    permit_state: PermitState,
    /// What each holder knows of it.
    known: [PermitState; 2],
    /// Whether it sees the first site as lost, rightly or not.
    sees: [bool; 2],
    words: BTreeSet<Said>,
    told: Vec<(MemberId, MemberId, Word)>,
    restarts: u8,
    /// First bytes of the event, whether one was an heir's, and whether one left after an end was told.
    sends: u8,
    by_heir: bool,
    ended: bool,
    late: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Tick,
    /// The owner writes its next line.
    Write,
    Deliver(Said),
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
enum Planted {
    Nothing,
    LeaseByTheWallClock,
    RunsWhatWasSent,
    TakeOverByTheViewAlone,
    AckBeforeStored,
    HomeWithoutLearning,
}

struct Sites {
    planted: Planted,
    ticks: u64,
    restarts: u8,
    /// Permits for the second site as well.
    second: bool,
    /// The owner may stand still between its look at the lease and its first byte.
    stalls: bool,
    returns: bool,
    /// How far its journal is written and held at the beginning, and whether it goes on.
    lines: Lines,
    writes: bool,
}

fn places(own: MemberId) -> SiteMap {
    SiteMap::new(vec![0, 1, 2], own).expect("in the list")
}

fn settings(own: MemberId, life: u64) -> HeirsSettings {
    HeirsSettings {
        places: places(own),
        life,
        holders: vec![2],
        slack: 0,
        most: 8,
        rate: 1_000_000,
        remember: 1_000_000,
    }
}

fn accepted() -> Accepted {
    Accepted {
        key: KEY,
        class: 0,
        tenant: 0,
        function: String::new(),
        again: Again::Unsafe,
        owed: true,
        deadline: 1_000_000,
        event: Vec::new(),
    }
}

/// What a holder has of a journal.
fn copy(gateway: MemberId, life: u64, lines: Lines) -> Vec<Copy> {
    let source = Source { gateway, life };
    let steps =
        [Step::Accepted(accepted()), Step::Sending { key: KEY, attempt: 0, worker: String::new(), at: 1 }];
    let entry = |(at, step)| Entry { source, number: at as u64 + 1, chain: at as u64 + 1, step };
    let entries: Vec<Entry> = steps.into_iter().take(lines.into()).enumerate().map(entry).collect();
    let through = u64::from(lines);
    let whole = Copy { source, through, head: through, unheard: 0, entries };
    if lines == 0 { Vec::new() } else { vec![whole] }
}

impl Sites {
    fn holder(&self, of: MemberId, now: Micros, life: u64) -> Holder {
        let mut heirs = Heirs::new(&settings(of, life), if life == 1 { 0 } else { now });
        let mut watch = Watch::new(&places(of));
        match self.planted {
            Planted::RunsWhatWasSent => heirs.plant(HeirsPlanted::RunsWhatWasSent),
            Planted::TakeOverByTheViewAlone => watch.plant(WatchPlanted::ByTheViewAlone),
            _ => {}
        }
        let promises = Promises::new(TERMS, if life == 1 { 0 } else { now });
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
    fn beat(world: &mut World) {
        if world.owner.back.is_some() {
            return;
        }
        for of in 1..3 {
            let lines = world.owner.lines;
            world.words.retain(|said| !matches!(said, Said::Lines(to, ..) if *to == of));
            world.words.insert(Said::Lines(of, lines, world.now));
        }
    }

    fn settle(&self, world: &mut World) {
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
            watch.look(now, &observations, &world.known[at], |_| 1, promises, &mut turns);
            for turn in turns {
                if let Turn::Begin { lives, .. } = turn {
                    for (lost, life) in lives {
                        let lines = if lost == 0 { holder.holds } else { holder.of_other };
                        holder.heirs.begin(now, lost, life, true, copy(lost, life, lines));
                    }
                }
            }
            holder.heirs.wake(now, world.now, &mut out);
            Self::put(world, of, out);
        }
    }

    fn put(world: &mut World, of: MemberId, out: Vec<Heir>) {
        for heir in out {
            match heir {
                // What asks whether anybody holds a journal bears on no event.
                Heir::Send(_, Word::Holds(..) | Word::Held(..)) => {}
                Heir::Send(to, word) => {
                    let told = (of, to, word);
                    // The same word again, but for the age that it tells.
                    let same = |(from, of, word): &(MemberId, MemberId, Word)| {
                        let like = std::mem::discriminant(word) == std::mem::discriminant(&told.2);
                        (*from, *of) == (told.0, told.1) && like
                    };
                    world.told.retain(|known| !same(known));
                    world.told.push(told);
                    world.told.sort_by_key(|(from, to, word)| (*from, *to, matches!(word, Word::Claim(_))));
                }
                Heir::Adopt { .. } if of > 0 => world.holders[usize::from(of) - 1].adopted = true,
                Heir::Told { .. } => world.ended = true,
                Heir::Learnt(from) => {
                    if let Some((home, _)) = &mut world.owner.back {
                        home.learnt(from);
                    }
                }
                Heir::Adopt { .. } | Heir::Gone(_) => {}
            }
        }
    }

    fn first_byte(world: &mut World) {
        world.sends += 1;
        world.late |= world.ended;
    }

    fn lease_clock(&self, world: &World) -> Micros {
        let now = world.now * TICK;
        // Planted: a wall clock that somebody puts back by two ticks at the sixth.
        let back = if self.planted == Planted::LeaseByTheWallClock && world.now >= 6 { 2 * TICK } else { 0 };
        now - back
    }

    fn may(&self, world: &World) -> bool {
        let owner = &world.owner;
        owner.back.is_none()
            && !owner.sent
            && owner.acked == [2, 2]
            && owner.lease.may(self.lease_clock(world), 2)
    }

    fn deliver(&self, world: &mut World, said: Said) {
        let now = world.now * TICK;
        match said {
            Said::Lines(of, lines, asked) => {
                let holder = &mut world.holders[usize::from(of) - 1];
                if holder.promises.grant(now, 0, 1).is_ok() {
                    let unstored = self.planted == Planted::AckBeforeStored && lines == 2;
                    holder.holds = holder.holds.max(if unstored { 1 } else { lines });
                    world.words.retain(|said| !matches!(said, Said::Ack(from, ..) if *from == of));
                    world.words.insert(Said::Ack(of, lines, asked));
                }
            }
            Said::Ack(of, lines, asked) => {
                let life = world.holders[usize::from(of) - 1].life;
                let owner = &mut world.owner;
                owner.lease.granted(now, of, life, asked * TICK);
                let acked = &mut owner.acked[usize::from(of) - 1];
                *acked = lines.max(*acked);
            }
        }
    }

    fn tell(&self, world: &mut World, at: usize) {
        let (from, to, word) = world.told[at].clone();
        let now = world.now * TICK;
        let mut out = Vec::new();
        match to {
            0 => {
                if let Some((_, heirs)) = &mut world.owner.back {
                    heirs.word(now, from, word, |_, _| Vec::new(), &mut out);
                }
            }
            _ => {
                let holder = &mut world.holders[usize::from(to) - 1];
                if matches!(word, Word::Back { .. }) && !holder.promises.free(now, from) {
                    return;
                }
                let (holds, of_other) = (holder.holds, holder.of_other);
                let copies =
                    |of: MemberId, life: u64| copy(of, life.min(1), if of == 0 { holds } else { of_other });
                if let Word::Back { life, .. } = word {
                    holder.promises.close(from, life);
                }
                holder.heirs.word(now, from, word, copies, &mut out);
            }
        }
        Self::put(world, to, out);
    }

    fn announce(world: &mut World, at: usize) -> bool {
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
            world.holders[at].lease.granted(now, 2 - at as MemberId, other_life, now);
        }
        world.holders[at].announced = true;
        true
    }
}

impl Model for Sites {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let lease = Lease::new(TERMS);
        let owner = Owner { lines: 0, lease, acked: [0; 2], sent: false, cleared: false, back: None };
        let holders = [1, 2].map(|of| self.holder(of, 0, 1));
        let mut world = World {
            now: START,
            owner,
            holders,
            permit_state: PermitState::default(),
            known: [PermitState::default(), PermitState::default()],
            // One that sees it lost asks for the permit, which the voters give whenever they like.
            sees: [self.planted != Planted::TakeOverByTheViewAlone; 2],
            words: BTreeSet::new(),
            told: Vec::new(),
            restarts: self.restarts,
            sends: 0,
            by_heir: false,
            ended: false,
            late: false,
        };
        for line in 1..=self.lines {
            let held = [1, 2].map(|of| Act::Deliver(Said::Lines(of, line, START)));
            for act in [Act::Write].into_iter().chain(held) {
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

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        acts.extend((world.now < START + self.ticks).then_some(Act::Tick));
        let owner = &world.owner;
        if owner.lines < 2 && owner.back.is_none() && self.writes {
            acts.push(Act::Write);
        }
        acts.extend(world.words.iter().cloned().map(Act::Deliver));
        acts.extend((0..world.told.len()).map(Act::Tell));
        for of in [0, 1] {
            if world.permit_state.permit(Subject::Site(of)).is_none() && (of == 0 || self.second) {
                acts.push(Act::Permit(of.into()));
            }
        }
        acts.extend((0..2).filter(|at| world.known[*at] != world.permit_state).map(Act::Learn));
        acts.extend((0..2).filter(|at| !world.sees[*at]).map(Act::See));
        if self.may(world) && !owner.cleared {
            acts.push(if self.stalls { Act::Clear } else { Act::Send });
        }
        if owner.cleared && !owner.sent && owner.back.is_none() {
            acts.push(Act::Send);
        }
        for at in 0..2 {
            let holder = &world.holders[at];
            if holder.adopted && !holder.announced {
                acts.push(Act::Announce(at));
            }
            let away = holder.watch.has_begun(Subject::Site(2 - at as u8));
            if holder.announced && holder.adopted && holder.lease.may(world.now * TICK, usize::from(!away)) {
                acts.push(Act::HeirSends(at));
            }
            if world.restarts > 0 {
                acts.push(Act::Restart(at));
            }
        }
        if self.returns && owner.back.is_none() {
            acts.push(Act::Return);
        }
        if let Some((home, heirs)) = &owner.back {
            acts.push(Act::Home);
            let learnt = home.is_home() || self.planted == Planted::HomeWithoutLearning;
            if learnt && heirs.fate(KEY).is_none() && !owner.sent {
                acts.push(Act::Repeat);
            }
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut world = last.clone();
        match act {
            Act::Tick => world.now += 1,
            Act::Write => {
                world.owner.lines += 1;
                Self::beat(&mut world);
            }
            Act::Deliver(said) => {
                world.words.remove(&said);
                self.deliver(&mut world, said);
            }
            Act::Tell(at) => {
                self.tell(&mut world, at);
                if world.told.get(at) == last.told.get(at) {
                    world.told.remove(at);
                }
            }
            Act::Permit(of) => {
                let number = world.permit_state.last_number + 1;
                let permit =
                    Permit { subject: Subject::Site(of as u8), number, incarnation: 0, returned: false };
                let _ = world.permit_state.add(permit);
                world.permit_state.last_number = number;
            }
            Act::Learn(at) => world.known[at] = world.permit_state.clone(),
            Act::See(at) => world.sees[at] = true,
            Act::Clear => world.owner.cleared = true,
            Act::Send => {
                world.owner.sent = true;
                Self::first_byte(&mut world);
            }
            Act::Announce(at) => {
                if !Self::announce(&mut world, at) {
                    return None;
                }
            }
            Act::HeirSends(at) => {
                world.holders[at].adopted = false;
                world.by_heir = true;
                Self::first_byte(&mut world);
            }
            Act::Restart(at) => {
                world.restarts -= 1;
                let life = world.holders[at].life + 1;
                world.holders[at] = self.holder(at as MemberId + 1, world.now * TICK, life);
                world.known[at] = PermitState::default();
                let of = at as MemberId + 1;
                world.told.retain(|(from, to, _)| *from != of && *to != of);
                world.words.retain(|said| !matches!(said, Said::Ack(from, ..) if *from == of));
                // The connection tells the owner of it: nothing that the earlier life acknowledged counts.
                world.owner.acked[at] = 0;
                world.owner.lease.drop_of(of);
            }
            Act::Return => {
                let now = world.now * TICK;
                world.owner.lease.drop_all();
                world.owner.sent = false;
                world.words.clear();
                world.owner.back = Some((Return::new(&places(0), now), Heirs::new(&settings(0, 2), now)));
            }
            Act::Home => {
                let (now, permit_state) = (world.now * TICK, world.permit_state.clone());
                let (home, _) = world.owner.back.as_mut()?;
                let mut steps = Vec::new();
                home.wake(now, &[1, 2], &mut steps);
                for step in steps {
                    match step {
                        ReturnStep::Home(subject) => {
                            home.answered(
                                subject,
                                permit_state.permit(subject).map_or(0, |permit| permit.number),
                            );
                        }
                        ReturnStep::Learn(to) => {
                            world.told.retain(|(from, of, _)| (*from, *of) != (0, to));
                            world.told.push((0, to, Word::Back { life: 1, after: None }));
                        }
                        ReturnStep::Done(subject, _) => {
                            world.permit_state.remove(subject);
                            home.ended(subject);
                        }
                        ReturnStep::Takes => {}
                    }
                }
            }
            Act::Repeat => {
                world.owner.sent = true;
                Self::first_byte(&mut world);
            }
        }
        self.settle(&mut world);
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("sent once", |_, world: &World| world.sends < 2),
            Property::<Self>::always("no byte after its end was told", |model, world: &World| {
                model.stalls || !world.late
            }),
            Property::<Self>::sometimes("an heir tells an end", |_, world: &World| world.ended),
            Property::<Self>::sometimes("an heir runs it", |_, world: &World| world.by_heir),
            Property::<Self>::sometimes("its owner runs it", |_, world: &World| world.owner.sent),
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

fn check(model: Sites) -> impl Checker<Sites> {
    let faulty = model.planted != Planted::Nothing;
    let until = if faulty { HasDiscoveries::AnyFailures } else { HasDiscoveries::All };
    let most = if model.returns { states() } else { usize::MAX };
    model.checker().threads(2).finish_when(until).target_state_count(most).spawn_bfs().join()
}

fn usual(planted: Planted) -> Sites {
    Sites {
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

fn holds(model: Sites) -> usize {
    let checked = check(model);
    let of = |name: &'static str| checked.discovery(name).map(|path| path.into_actions());
    assert_eq!(of("sent once"), None);
    assert_eq!(of("no byte after its end was told"), None);
    assert!(of("an heir tells an end").is_some() && of("an heir runs it").is_some());
    checked.unique_state_count()
}

#[test]
fn an_event_is_sent_once_whoever_is_taken_over() {
    let states = holds(usual(Planted::Nothing));
    println!("{states} states");
    assert!(states > 1_000, "{states}");
}

#[test]
fn an_event_is_sent_once_though_its_owner_stands_still_before_it_writes() {
    let checked = check(Sites { stalls: true, ..usual(Planted::Nothing) });
    assert!(checked.discovery("sent once").is_none());
    // What no clock can rule out: the byte leaves after a client was told that it may.
    assert!(checked.discovery("its owner runs it").is_some());
}

/// With what the owner has written when it falls silent: that it was accepted, or that it is about to be sent.
fn holds_from(model: impl Fn() -> Sites) {
    for lines in [1, 2] {
        let checked = check(Sites { lines, writes: false, ..model() });
        println!("{} states", checked.unique_state_count());
        assert!(checked.discovery("sent once").is_none());
        assert!(checked.discovery("no byte after its end was told").is_none());
        assert!(lines == 1 || checked.discovery("an heir runs it").is_none());
    }
}

#[test]
fn an_event_is_sent_once_though_one_that_would_take_over_is_lost_as_well() {
    holds_from(|| Sites { second: true, ..usual(Planted::Nothing) });
}

#[test]
fn an_event_is_sent_once_though_a_holder_forgets() {
    holds_from(|| Sites { restarts: 1, ..usual(Planted::Nothing) });
}

#[test]
fn an_event_is_sent_once_though_its_owner_returns_and_is_asked_again() {
    holds_from(|| Sites { returns: true, ..usual(Planted::Nothing) });
}

#[test]
fn one_that_returns_and_does_not_ask_is_found() {
    let model = Sites { returns: true, lines: 2, writes: false, ..usual(Planted::HomeWithoutLearning) };
    assert!(check(model).discovery("sent once").is_some());
}

fn found(planted: Planted, name: &'static str) -> bool {
    check(usual(planted)).discovery(name).is_some()
}

#[test]
fn a_lease_by_the_wall_clock_is_found() {
    assert!(found(Planted::LeaseByTheWallClock, "no byte after its end was told"));
}

#[test]
fn an_heir_that_runs_what_was_sent_is_found() {
    assert!(found(Planted::RunsWhatWasSent, "sent once"));
}

#[test]
fn a_take_over_by_the_view_alone_is_found() {
    let model = Sites { ticks: 1, lines: 2, ..usual(Planted::TakeOverByTheViewAlone) };
    assert!(check(model).discovery("no byte after its end was told").is_some());
}

#[test]
fn an_ack_before_the_line_is_stored_is_found() {
    assert!(found(Planted::AckBeforeStored, "sent once"));
}
