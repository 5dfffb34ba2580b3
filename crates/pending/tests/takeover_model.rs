//! Exhaustive check of lease, takeover and return on the real state machines: three sites of one gateway each, and
//! one unsafe event of the first. The membership view is arbitrary: a site counts as lost at any moment, and the
//! voters permit the takeover of any of two sites at any moment. Messages are delayed for any time or lost; a holder
//! restarts without its state; the owner stalls before its first byte, or returns as another life, and the client
//! sends the event again there.
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
/// Ticks at the start, so that every holder has been up for longer than a promise.
const START: u64 = 4;

/// Entries in the owner's journal: 0, 1 (accepted), or 2 (accepted and about to be sent).
type EntryCount = u8;

/// A packet between a writer and a holder; it can be delayed for any time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Packet {
    /// From a writer to a holder: the entries, and the tick at which it was sent.
    Append(MemberId, EntryCount, u64),
    /// The holder's answer to it.
    Ack(MemberId, EntryCount, u64),
}

/// A gateway of another site.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holder {
    life: u64,
    promises: HolderPromises,
    monitor: TakeoverMonitor,
    recovery: Recovery,
    /// Entries stored of the owner's journal, and of the other holder's.
    stored: EntryCount,
    stored_of_other: EntryCount,
    /// Whether it has taken the event over, whether its journal records that the first byte is about to be sent, and
    /// its lease for that.
    adopted: bool,
    announced: bool,
    lease: Lease,
}

/// The owner: its first life, and what a later one has learned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    entries: EntryCount,
    lease: Lease,
    acked: [EntryCount; 2],
    sent: bool,
    /// It has checked its lease and has not sent the first byte yet.
    lease_checked: bool,
    back: Option<(Rejoin, Recovery)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    now: u64,
    owner: Owner,
    holders: [Holder; 2],
    permit_state: PermitState,
    /// The permit state as each holder has it.
    known_permits: [PermitState; 2],
    /// Whether each holder sees the first site as lost, rightly or not.
    sees_site_lost: [bool; 2],
    packets: BTreeSet<Packet>,
    messages: Vec<(MemberId, MemberId, TakeoverMessage)>,
    restarts: u8,
    /// Number of first bytes of the event, whether one was sent after a takeover, whether an end was reported, and
    /// whether a first byte was sent after that.
    sends: u8,
    sent_after_takeover: bool,
    ended: bool,
    sent_after_end: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ModelAction {
    Tick,
    /// The owner writes its next entry.
    Write,
    Deliver(Packet),
    DeliverMessage(usize),
    /// The voters permit the takeover of a site.
    Permit(MemberId),
    /// A holder learns of the current permits.
    LearnPermits(usize),
    /// A holder sees the first site as lost.
    SeeSiteLost(usize),
    /// The owner sends the first byte; a holder that has taken the event over announces the first byte before it
    /// sends it.
    Send,
    /// The owner checks its lease, and stalls before it sends.
    CheckLease,
    Announce(usize),
    SendAfterTakeover(usize),
    Restart(usize),
    Return,
    Rejoin,
    /// A client sends the event again to the returned owner.
    Repeat,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    Nothing,
    LeaseByWallClock,
    RerunsSentEvents,
    TakeoverByViewAlone,
    AcksBeforeStoring,
    ReadyWithoutQueryingPeers,
}

struct TakeoverModel {
    fault: InjectedFault,
    ticks: u64,
    restarts: u8,
    /// The voters may permit the takeover of the second site as well.
    second_site_permits: bool,
    /// The owner may stall between checking its lease and sending the first byte.
    stalls: bool,
    returns: bool,
    /// Entries written and stored at the start, and whether the owner writes more.
    entries: EntryCount,
    writes: bool,
}

fn site_map(own: MemberId) -> SiteMap {
    SiteMap::new(vec![0, 1, 2], own).expect("in the list")
}

fn settings(own: MemberId, life: u64) -> RecoverySettings {
    RecoverySettings {
        site_map: site_map(own),
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

/// The snapshot of a journal with this many entries.
fn snapshot(gateway: MemberId, life: u64, count: EntryCount) -> Vec<JournalSnapshot> {
    let source = Source { gateway, life };
    let steps =
        [Step::Accepted(accepted()), Step::Sending { key: KEY, attempt: 0, worker: String::new(), at: 1 }];
    let entry = |(at, step)| Entry { source, number: at as u64 + 1, chain: at as u64 + 1, step };
    let entries: Vec<Entry> = steps.into_iter().take(count.into()).enumerate().map(entry).collect();
    let through = u64::from(count);
    let whole = JournalSnapshot { source, through, head: through, silent_for: 0, entries };
    if count == 0 { Vec::new() } else { vec![whole] }
}

impl TakeoverModel {
    fn holder(&self, of: MemberId, now: Micros, life: u64) -> Holder {
        let mut recovery = Recovery::new(&settings(of, life), if life == 1 { 0 } else { now });
        let mut monitor = TakeoverMonitor::new(&site_map(of));
        match self.fault {
            InjectedFault::RerunsSentEvents => recovery.inject_fault(RecoveryFault::RerunsSentEvents),
            InjectedFault::TakeoverByViewAlone => monitor.inject_fault(TakeoverFault::IgnoresPermits),
            _ => {}
        }
        let promises = HolderPromises::new(TERMS, if life == 1 { 0 } else { now });
        let lease = Lease::new(TERMS);
        Holder {
            life,
            promises,
            monitor,
            recovery,
            stored: 0,
            stored_of_other: 0,
            adopted: false,
            announced: false,
            lease,
        }
    }

    /// The owner sends its entries to each holder, which also requests a lease. Only when it writes: a later renewal
    /// would give the same states, shifted by the time between.
    fn send_entries(state: &mut ModelState) {
        if state.owner.back.is_some() {
            return;
        }
        for of in 1..3 {
            let entries = state.owner.entries;
            state.packets.retain(|packet| !matches!(packet, Packet::Append(to, ..) if *to == of));
            state.packets.insert(Packet::Append(of, entries, state.now));
        }
    }

    fn run_holders(&self, state: &mut ModelState) {
        let now = state.now * TICK;
        for at in 0..2 {
            let of = at as MemberId + 1;
            let used = (!state.sees_site_lost[at]).then_some(0);
            let seen = Observation {
                zone: 0,
                incarnation: 0,
                in_use_for: used,
                holds_last_copy: false,
                running_version: None,
            };
            let observations: Observations = [(Subject::Site(0), seen)].into();
            let holder = &mut state.holders[at];
            let (mut actions, mut out) = (Vec::new(), Vec::new());
            let Holder { promises, monitor, .. } = holder;
            monitor.update(now, &observations, &state.known_permits[at], |_| 1, promises, &mut actions);
            for action in actions {
                if let TakeoverAction::Begin { lives, .. } = action {
                    for (lost, life) in lives {
                        let entries = if lost == 0 { holder.stored } else { holder.stored_of_other };
                        holder.recovery.take_over(now, lost, life, true, snapshot(lost, life, entries));
                    }
                }
            }
            holder.recovery.wake(now, state.now, &mut out);
            Self::apply_outputs(state, of, out);
        }
    }

    fn apply_outputs(state: &mut ModelState, of: MemberId, out: Vec<RecoveryOutput>) {
        for output in out {
            match output {
                // Queries for holders of a journal have no effect on the event.
                RecoveryOutput::Send(
                    _,
                    TakeoverMessage::HoldsQuery(..) | TakeoverMessage::HoldsReply(..),
                ) => {}
                RecoveryOutput::Send(to, body) => {
                    let message = (of, to, body);
                    // The same message again, except for the age in it.
                    let same = |(from, of, body): &(MemberId, MemberId, TakeoverMessage)| {
                        let like = std::mem::discriminant(body) == std::mem::discriminant(&message.2);
                        (*from, *of) == (message.0, message.1) && like
                    };
                    state.messages.retain(|known| !same(known));
                    state.messages.push(message);
                    state.messages.sort_by_key(|(from, to, body)| {
                        (*from, *to, matches!(body, TakeoverMessage::Claim(_)))
                    });
                }
                RecoveryOutput::Adopt { .. } if of > 0 => state.holders[usize::from(of) - 1].adopted = true,
                RecoveryOutput::Resolved { .. } => state.ended = true,
                RecoveryOutput::ReturnLearned(from) => {
                    if let Some((rejoin, _)) = &mut state.owner.back {
                        rejoin.on_peer_answered(from);
                    }
                }
                RecoveryOutput::Adopt { .. } | RecoveryOutput::JournalLoss(_) => {}
            }
        }
    }

    fn first_byte(state: &mut ModelState) {
        state.sends += 1;
        state.sent_after_end |= state.ended;
    }

    fn lease_clock(&self, state: &ModelState) -> Micros {
        let now = state.now * TICK;
        // Injected fault: a wall clock that is set back by two ticks at the sixth tick.
        let back = if self.fault == InjectedFault::LeaseByWallClock && state.now >= 6 { 2 * TICK } else { 0 };
        now - back
    }

    fn may_send(&self, state: &ModelState) -> bool {
        let owner = &state.owner;
        owner.back.is_none()
            && !owner.sent
            && owner.acked == [2, 2]
            && owner.lease.allows_send(self.lease_clock(state), 2)
    }

    fn deliver(&self, state: &mut ModelState, packet: Packet) {
        let now = state.now * TICK;
        match packet {
            Packet::Append(of, entries, sent_at) => {
                let holder = &mut state.holders[usize::from(of) - 1];
                if holder.promises.grant(now, 0, 1).is_ok() {
                    let unstored = self.fault == InjectedFault::AcksBeforeStoring && entries == 2;
                    holder.stored = holder.stored.max(if unstored { 1 } else { entries });
                    state.packets.retain(|packet| !matches!(packet, Packet::Ack(from, ..) if *from == of));
                    state.packets.insert(Packet::Ack(of, entries, sent_at));
                }
            }
            Packet::Ack(of, entries, sent_at) => {
                let life = state.holders[usize::from(of) - 1].life;
                let owner = &mut state.owner;
                owner.lease.record_grant(now, of, life, sent_at * TICK);
                let acked = &mut owner.acked[usize::from(of) - 1];
                *acked = entries.max(*acked);
            }
        }
    }

    fn deliver_message(&self, state: &mut ModelState, at: usize) {
        let (from, to, body) = state.messages[at].clone();
        let now = state.now * TICK;
        let mut out = Vec::new();
        match to {
            0 => {
                if let Some((_, recovery)) = &mut state.owner.back {
                    recovery.handle_message(now, from, body, |_, _| Vec::new(), &mut out);
                }
            }
            _ => {
                let holder = &mut state.holders[usize::from(to) - 1];
                if matches!(body, TakeoverMessage::ReturnQuery { .. })
                    && !holder.promises.has_expired(now, from)
                {
                    return;
                }
                let (stored, stored_of_other) = (holder.stored, holder.stored_of_other);
                let snapshots = |of: MemberId, life: u64| {
                    snapshot(of, life.min(1), if of == 0 { stored } else { stored_of_other })
                };
                if let TakeoverMessage::ReturnQuery { life, .. } = body {
                    holder.promises.fence(from, life);
                }
                holder.recovery.handle_message(now, from, body, snapshots, &mut out);
            }
        }
        Self::apply_outputs(state, to, out);
    }

    fn announce(state: &mut ModelState, at: usize) -> bool {
        let (of, now) = (at as MemberId + 1, state.now * TICK);
        let life = state.holders[at].life;
        let other_unavailable = state.holders[at].monitor.has_begun(Subject::Site(2 - at as u8));
        let other = &mut state.holders[1 - at];
        if !other_unavailable {
            if other.promises.grant(now, of, life).is_err() {
                return false;
            }
            other.stored_of_other = 2;
            let other_life = other.life;
            state.holders[at].lease.record_grant(now, 2 - at as MemberId, other_life, now);
        }
        state.holders[at].announced = true;
        true
    }
}

impl Model for TakeoverModel {
    type State = ModelState;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<ModelState> {
        let lease = Lease::new(TERMS);
        let owner = Owner { entries: 0, lease, acked: [0; 2], sent: false, lease_checked: false, back: None };
        let holders = [1, 2].map(|of| self.holder(of, 0, 1));
        let mut state = ModelState {
            now: START,
            owner,
            holders,
            permit_state: PermitState::default(),
            known_permits: [PermitState::default(), PermitState::default()],
            // A holder that sees the site as lost requests the permit, which the voters grant at any time.
            sees_site_lost: [self.fault != InjectedFault::TakeoverByViewAlone; 2],
            packets: BTreeSet::new(),
            messages: Vec::new(),
            restarts: self.restarts,
            sends: 0,
            sent_after_takeover: false,
            ended: false,
            sent_after_end: false,
        };
        for count in 1..=self.entries {
            let appends = [1, 2].map(|of| ModelAction::Deliver(Packet::Append(of, count, START)));
            for act in [ModelAction::Write].into_iter().chain(appends) {
                state = self.next_state(&state, act).expect("it changes");
            }
        }
        if self.returns {
            // The lease has expired: an event that was announced has been sent.
            state.now += 2;
            (state.sends, state.owner.sent) = (self.entries - 1, self.entries == 2);
        }
        vec![state]
    }

    fn actions(&self, state: &ModelState, acts: &mut Vec<ModelAction>) {
        acts.extend((state.now < START + self.ticks).then_some(ModelAction::Tick));
        let owner = &state.owner;
        if owner.entries < 2 && owner.back.is_none() && self.writes {
            acts.push(ModelAction::Write);
        }
        acts.extend(state.packets.iter().cloned().map(ModelAction::Deliver));
        acts.extend((0..state.messages.len()).map(ModelAction::DeliverMessage));
        for of in [0, 1] {
            if state.permit_state.permit(Subject::Site(of)).is_none() && (of == 0 || self.second_site_permits)
            {
                acts.push(ModelAction::Permit(of.into()));
            }
        }
        acts.extend(
            (0..2).filter(|at| state.known_permits[*at] != state.permit_state).map(ModelAction::LearnPermits),
        );
        acts.extend((0..2).filter(|at| !state.sees_site_lost[*at]).map(ModelAction::SeeSiteLost));
        if self.may_send(state) && !owner.lease_checked {
            acts.push(if self.stalls { ModelAction::CheckLease } else { ModelAction::Send });
        }
        if owner.lease_checked && !owner.sent && owner.back.is_none() {
            acts.push(ModelAction::Send);
        }
        for at in 0..2 {
            let holder = &state.holders[at];
            if holder.adopted && !holder.announced {
                acts.push(ModelAction::Announce(at));
            }
            let other_unavailable = holder.monitor.has_begun(Subject::Site(2 - at as u8));
            if holder.announced
                && holder.adopted
                && holder.lease.allows_send(state.now * TICK, usize::from(!other_unavailable))
            {
                acts.push(ModelAction::SendAfterTakeover(at));
            }
            if state.restarts > 0 {
                acts.push(ModelAction::Restart(at));
            }
        }
        if self.returns && owner.back.is_none() {
            acts.push(ModelAction::Return);
        }
        if let Some((rejoin, recovery)) = &owner.back {
            acts.push(ModelAction::Rejoin);
            let ready = rejoin.is_ready() || self.fault == InjectedFault::ReadyWithoutQueryingPeers;
            if ready && recovery.event_status(KEY).is_none() && !owner.sent {
                acts.push(ModelAction::Repeat);
            }
        }
    }

    fn next_state(&self, last: &ModelState, act: ModelAction) -> Option<ModelState> {
        let mut state = last.clone();
        match act {
            ModelAction::Tick => state.now += 1,
            ModelAction::Write => {
                state.owner.entries += 1;
                Self::send_entries(&mut state);
            }
            ModelAction::Deliver(packet) => {
                state.packets.remove(&packet);
                self.deliver(&mut state, packet);
            }
            ModelAction::DeliverMessage(at) => {
                self.deliver_message(&mut state, at);
                if state.messages.get(at) == last.messages.get(at) {
                    state.messages.remove(at);
                }
            }
            ModelAction::Permit(of) => {
                let number = state.permit_state.last_number + 1;
                let permit =
                    Permit { subject: Subject::Site(of as u8), number, incarnation: 0, returned: false };
                let _ = state.permit_state.add(permit);
                state.permit_state.last_number = number;
            }
            ModelAction::LearnPermits(at) => state.known_permits[at] = state.permit_state.clone(),
            ModelAction::SeeSiteLost(at) => state.sees_site_lost[at] = true,
            ModelAction::CheckLease => state.owner.lease_checked = true,
            ModelAction::Send => {
                state.owner.sent = true;
                Self::first_byte(&mut state);
            }
            ModelAction::Announce(at) => {
                if !Self::announce(&mut state, at) {
                    return None;
                }
            }
            ModelAction::SendAfterTakeover(at) => {
                state.holders[at].adopted = false;
                state.sent_after_takeover = true;
                Self::first_byte(&mut state);
            }
            ModelAction::Restart(at) => {
                state.restarts -= 1;
                let life = state.holders[at].life + 1;
                state.holders[at] = self.holder(at as MemberId + 1, state.now * TICK, life);
                state.known_permits[at] = PermitState::default();
                let of = at as MemberId + 1;
                state.messages.retain(|(from, to, _)| *from != of && *to != of);
                state.packets.retain(|packet| !matches!(packet, Packet::Ack(from, ..) if *from == of));
                // The connection reports the new life to the owner: acks of the earlier one no longer count.
                state.owner.acked[at] = 0;
                state.owner.lease.revoke(of);
            }
            ModelAction::Return => {
                let now = state.now * TICK;
                state.owner.lease.revoke_all();
                state.owner.sent = false;
                state.packets.clear();
                state.owner.back =
                    Some((Rejoin::new(&site_map(0), now), Recovery::new(&settings(0, 2), now)));
            }
            ModelAction::Rejoin => {
                let (now, permit_state) = (state.now * TICK, state.permit_state.clone());
                let (rejoin, _) = state.owner.back.as_mut()?;
                let mut steps = Vec::new();
                rejoin.wake(now, &[1, 2], &mut steps);
                for step in steps {
                    match step {
                        RejoinAction::Reclaim(subject) => {
                            rejoin.on_reclaim_reply(
                                subject,
                                permit_state.permit(subject).map_or(0, |permit| permit.number),
                            );
                        }
                        RejoinAction::QueryPeer(to) => {
                            state.messages.retain(|(from, of, _)| (*from, *of) != (0, to));
                            state.messages.push((
                                0,
                                to,
                                TakeoverMessage::ReturnQuery { life: 1, after: None },
                            ));
                        }
                        RejoinAction::ReturnPermit(subject, _) => {
                            state.permit_state.remove(subject);
                            rejoin.on_permit_returned(subject);
                        }
                        RejoinAction::Ready => {}
                    }
                }
            }
            ModelAction::Repeat => {
                state.owner.sent = true;
                Self::first_byte(&mut state);
            }
        }
        self.run_holders(&mut state);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("sent once", |_, state: &ModelState| state.sends < 2),
            Property::<Self>::always("no byte after its end was reported", |model, state: &ModelState| {
                model.stalls || !state.sent_after_end
            }),
            Property::<Self>::sometimes("a takeover reports an end", |_, state: &ModelState| state.ended),
            Property::<Self>::sometimes("a takeover runs it", |_, state: &ModelState| {
                state.sent_after_takeover
            }),
            Property::<Self>::sometimes("its owner runs it", |_, state: &ModelState| state.owner.sent),
        ]
    }
}

/// Limits for long runs: `HEIRS_TICKS=4 cargo test --release` sets the length of the histories, and
/// `HEIRS_STATES=5000000` the number of states that are checked for a return, shortest histories first.
fn states() -> usize {
    std::env::var("HEIRS_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(20_000)
}

fn ticks(default: u64) -> u64 {
    std::env::var("HEIRS_TICKS").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

fn check(model: TakeoverModel) -> impl Checker<TakeoverModel> {
    let faulty = model.fault != InjectedFault::Nothing;
    let until = if faulty { HasDiscoveries::AnyFailures } else { HasDiscoveries::All };
    let most = if model.returns { states() } else { usize::MAX };
    model.checker().threads(2).finish_when(until).target_state_count(most).spawn_bfs().join()
}

fn default_model(fault: InjectedFault) -> TakeoverModel {
    TakeoverModel {
        fault,
        ticks: ticks(3),
        restarts: 0,
        second_site_permits: false,
        stalls: false,
        returns: false,
        entries: 1,
        writes: true,
    }
}

fn check_sent_once(model: TakeoverModel) -> usize {
    let checked = check(model);
    let of = |name: &'static str| checked.discovery(name).map(|path| path.into_actions());
    assert_eq!(of("sent once"), None);
    assert_eq!(of("no byte after its end was reported"), None);
    assert!(of("a takeover reports an end").is_some() && of("a takeover runs it").is_some());
    checked.unique_state_count()
}

#[test]
fn an_event_is_sent_once_despite_takeovers() {
    let states = check_sent_once(default_model(InjectedFault::Nothing));
    println!("{states} states");
    assert!(states > 1_000, "{states}");
}

#[test]
fn an_event_is_sent_once_if_its_owner_stalls_before_the_first_byte() {
    let checked = check(TakeoverModel { stalls: true, ..default_model(InjectedFault::Nothing) });
    assert!(checked.discovery("sent once").is_none());
    // No clock can rule this out: the byte is sent after a client was answered that the event may have run.
    assert!(checked.discovery("its owner runs it").is_some());
}

/// The owner fails after it has written that the event was accepted, or that it is about to be sent.
fn check_sent_once_after(model: impl Fn() -> TakeoverModel) {
    for entries in [1, 2] {
        let checked = check(TakeoverModel { entries, writes: false, ..model() });
        println!("{} states", checked.unique_state_count());
        assert!(checked.discovery("sent once").is_none());
        assert!(checked.discovery("no byte after its end was reported").is_none());
        assert!(entries == 1 || checked.discovery("a takeover runs it").is_none());
    }
}

#[test]
fn an_event_is_sent_once_if_a_takeover_candidate_is_lost_as_well() {
    check_sent_once_after(|| TakeoverModel {
        second_site_permits: true,
        ..default_model(InjectedFault::Nothing)
    });
}

#[test]
fn an_event_is_sent_once_if_a_holder_restarts_without_its_state() {
    check_sent_once_after(|| TakeoverModel { restarts: 1, ..default_model(InjectedFault::Nothing) });
}

#[test]
fn an_event_is_sent_once_if_its_owner_returns_and_the_client_repeats_it() {
    check_sent_once_after(|| TakeoverModel { returns: true, ..default_model(InjectedFault::Nothing) });
}

#[test]
fn returning_without_asking_peers_is_detected() {
    let model = TakeoverModel {
        returns: true,
        entries: 2,
        writes: false,
        ..default_model(InjectedFault::ReadyWithoutQueryingPeers)
    };
    assert!(check(model).discovery("sent once").is_some());
}

fn detects(fault: InjectedFault, name: &'static str) -> bool {
    check(default_model(fault)).discovery(name).is_some()
}

#[test]
fn a_lease_by_the_wall_clock_is_detected() {
    assert!(detects(InjectedFault::LeaseByWallClock, "no byte after its end was reported"));
}

#[test]
fn running_an_event_that_was_sent_is_detected() {
    assert!(detects(InjectedFault::RerunsSentEvents, "sent once"));
}

#[test]
fn a_takeover_by_the_view_alone_is_detected() {
    let model = TakeoverModel { ticks: 1, entries: 2, ..default_model(InjectedFault::TakeoverByViewAlone) };
    assert!(check(model).discovery("no byte after its end was reported").is_some());
}

#[test]
fn an_ack_before_the_entry_is_stored_is_detected() {
    assert!(detects(InjectedFault::AcksBeforeStoring, "sent once"));
}
