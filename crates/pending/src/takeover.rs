//! When what a lost site or gateway had pending is done by others, and what one that returns does first. Never by the
//! view alone: what was promised to it has run out, and the voters have given a permit.

use crate::lease::HolderPromises;
use basaltward_membership::{MemberId, Micros, SiteMap};
use basaltward_permits::{Observations, PermitState, Subject};
use std::collections::{BTreeMap, BTreeSet};

/// The voters are asked again after this; whoever is not the first to ask waits as long for each that is.
const AGAIN: Micros = 300_000;
/// So many ask one after another, the others with the last.
const TURNS: u64 = 8;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TakeoverAction {
    /// Ask the voters for the permit: `PermitRequest::Acquire`.
    RequestPermit(Subject),
    /// What these lives of its gateways and all before them had pending is others' now: [`crate::Recovery::begin`].
    Begin {
        /// Who is lost.
        subject: Subject,
        /// The permit's number.
        permit: u16,
        /// Its gateways, each with its last life that is over.
        lives: Vec<(MemberId, u64)>,
    },
    /// The permit is over: its subject has learnt what was done.
    Returned(Subject),
    /// We are taken over ourselves: nothing pending of this life is ours any more, see [`Rejoin`].
    LostOwnership,
}

/// Who is taken over, as one gateway sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TakeoverMonitor {
    sites: Vec<u8>,
    own: MemberId,
    /// Since when it is seen to be lost and all that we promised has run out, and when we ask next.
    lost: BTreeMap<Subject, Micros>,
    /// Permits that stand, and whether we have begun.
    taken: BTreeMap<Subject, (u16, bool)>,
    planted: Option<TakeoverFault>,
}

/// Faults that checkers must find.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TakeoverFault {
    /// Who is seen to be lost is taken over at once.
    ByTheViewAlone,
}

impl TakeoverMonitor {
    /// Nobody is taken over.
    pub fn new(places: &SiteMap) -> Self {
        let sites = (0..places.len() as MemberId).filter_map(|of| places.site_of(of)).collect();
        Self { sites, own: places.own(), lost: BTreeMap::new(), taken: BTreeMap::new(), planted: None }
    }

    #[doc(hidden)]
    pub fn plant(&mut self, planted: TakeoverFault) {
        self.planted = Some(planted);
    }

    /// Whether its permit stands and we do what it had pending.
    pub fn has_begun(&self, subject: Subject) -> bool {
        self.taken.get(&subject).is_some_and(|(_, begun)| *begun)
    }

    fn members(&self, subject: Subject) -> Vec<MemberId> {
        match subject {
            Subject::Site(site) => {
                let all = self.sites.iter().enumerate();
                all.filter(|(_, of)| **of == site).map(|(of, _)| of as MemberId).collect()
            }
            Subject::Gateway(of) if usize::from(of) < self.sites.len() => vec![of],
            _ => Vec::new(),
        }
    }

    /// Our turn among those who would ask about one of its members.
    fn turn(&self, members: &[MemberId]) -> u64 {
        let size = self.sites.len().max(1) as u64;
        let first = members.first().map_or(0, |of| u64::from(*of));
        ((u64::from(self.own) + size - first) % size).min(TURNS)
    }

    /// Looks at what the view shows (see `basaltward_permits::sites`) and at what is agreed. `life` is the latest that
    /// is known of a gateway, by the view or by a journal. Asked again by [`TakeoverMonitor::next_due`] and when either changes.
    pub fn look(
        &mut self,
        now: Micros,
        observations: &Observations,
        permit_state: &PermitState,
        life: impl Fn(MemberId) -> u64,
        promises: &mut HolderPromises,
        out: &mut Vec<TakeoverAction>,
    ) {
        let lost = observations.iter().filter(|(of, seen)| of.allows_takeover() && seen.in_use_for.is_none());
        let lost: BTreeSet<Subject> = lost.map(|(of, _)| *of).collect();
        self.lost.retain(|of, _| lost.contains(of));
        for subject in lost {
            let members = self.members(subject);
            if members.contains(&self.own) || members.is_empty() {
                continue;
            }
            if self.planted == Some(TakeoverFault::ByTheViewAlone) {
                self.begin(subject, 0, &members, &life, promises, out);
                continue;
            }
            let free = members.iter().all(|of| promises.free(now, *of));
            if permit_state.permit(subject).is_some() || !free {
                continue;
            }
            let turn = self.turn(&members);
            let next = self.lost.entry(subject).or_insert(now + AGAIN * turn);
            if now >= *next {
                *next = now + AGAIN * (TURNS + 1);
                out.push(TakeoverAction::RequestPermit(subject));
            }
        }
        for permit in permit_state.permits.iter().filter(|permit| permit.subject.allows_takeover()) {
            self.permitted(now, permit.subject, permit.number, &life, promises, out);
        }
        let over = |of: &Subject| permit_state.permit(*of).is_none() && self.planted.is_none();
        let over: Vec<Subject> = self.taken.keys().copied().filter(over).collect();
        for subject in over {
            self.taken.remove(&subject);
            out.push(TakeoverAction::Returned(subject));
        }
    }

    fn permitted(
        &mut self,
        now: Micros,
        subject: Subject,
        permit: u16,
        life: &impl Fn(MemberId) -> u64,
        promises: &mut HolderPromises,
        out: &mut Vec<TakeoverAction>,
    ) {
        let members = self.members(subject);
        let known = self.taken.get(&subject).copied();
        if known == Some((permit, true)) {
            return;
        }
        if members.contains(&self.own) {
            self.taken.insert(subject, (permit, true));
            out.push(TakeoverAction::LostOwnership);
            return;
        }
        self.taken.insert(subject, (permit, false));
        // From here on nothing is promised, so that what was promised does run out.
        members.iter().for_each(|of| promises.close(*of, life(*of)));
        if members.iter().all(|of| promises.free(now, *of)) {
            self.begin(subject, permit, &members, life, promises, out);
        }
    }

    fn begin(
        &mut self,
        subject: Subject,
        permit: u16,
        members: &[MemberId],
        life: &impl Fn(MemberId) -> u64,
        promises: &mut HolderPromises,
        out: &mut Vec<TakeoverAction>,
    ) {
        if self.taken.insert(subject, (permit, true)) == Some((permit, true)) {
            return;
        }
        members.iter().for_each(|of| promises.close(*of, life(*of)));
        let lives = members.iter().map(|of| (*of, promises.closed(*of).unwrap_or(0))).collect();
        out.push(TakeoverAction::Begin { subject, permit, lives });
    }

    /// When to look again though nothing has changed.
    pub fn next_due(&self, now: Micros) -> Micros {
        let waits = self.taken.values().any(|(_, begun)| !begun);
        let asks = self.lost.values().min().copied();
        asks.into_iter().chain(waits.then_some(now + AGAIN)).min().unwrap_or(Micros::MAX)
    }
}

/// What a gateway that begins, or that was taken over, has to do before it takes kept events.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RejoinAction {
    /// Ask the voters whether this is taken over: `PermitRequest::Reclaim`.
    Reclaim(Subject),
    /// Ask this peer what was done in our place: [`crate::TakeoverMessage::ReturnQuery`].
    QueryPeer(MemberId),
    /// Tell the voters that we have learnt it: `PermitRequest::Return`.
    ReturnPermit(Subject, u16),
    /// Kept events are taken from now on.
    Ready,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RejoinStage {
    Reclaiming,
    QueryingPeers,
    ReturningPermits,
    Ready,
}

/// See [`RejoinAction`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rejoin {
    /// What may be taken over with us, with the permit's number once that is known.
    permits: BTreeMap<Subject, Option<u16>>,
    /// Peers that have told all.
    told: BTreeSet<MemberId>,
    stage: RejoinStage,
    again: Micros,
}

impl Rejoin {
    /// Of a life that begins now.
    pub fn new(places: &SiteMap, now: Micros) -> Self {
        let subjects = [Subject::Site(places.own_site()), Subject::Gateway(places.own())];
        let permits = subjects.map(|subject| (subject, None)).into();
        Self { permits, told: BTreeSet::new(), stage: RejoinStage::Reclaiming, again: now }
    }

    /// Whether kept events may be taken.
    pub fn is_home(&self) -> bool {
        self.stage == RejoinStage::Ready
    }

    /// The voters have answered `PermitRequest::Reclaim`, after any life of ours that it knows of began.
    pub fn answered(&mut self, subject: Subject, permit: u16) {
        if self.stage == RejoinStage::Reclaiming {
            self.permits.entry(subject).and_modify(|known| *known = Some(permit));
        }
    }

    /// A peer has told all that was done in our place.
    pub fn learnt(&mut self, from: MemberId) {
        self.told.insert(from);
    }

    /// The voters have answered `PermitRequest::Return`, or that no such permit stands.
    pub fn ended(&mut self, subject: Subject) {
        if self.stage == RejoinStage::ReturningPermits {
            self.permits.remove(&subject);
        }
    }

    /// Does what is next. `live` are our peers that live: one of them that has not told all is waited for.
    pub fn wake(&mut self, now: Micros, live: &[MemberId], out: &mut Vec<RejoinAction>) {
        let was = self.stage;
        if self.stage == RejoinStage::Reclaiming && self.permits.values().all(Option::is_some) {
            self.stage = RejoinStage::QueryingPeers;
        }
        // Nobody who lives may be cut off from all who know: the majority of the voters has answered before.
        if self.stage == RejoinStage::QueryingPeers && live.iter().all(|of| self.told.contains(of)) {
            self.permits.retain(|_, number| number.is_some_and(|number| number != 0));
            self.stage = RejoinStage::ReturningPermits;
        }
        if self.stage == RejoinStage::ReturningPermits && self.permits.is_empty() {
            self.stage = RejoinStage::Ready;
            out.push(RejoinAction::Ready);
        }
        if now < self.again && was == self.stage {
            return;
        }
        self.again = now + AGAIN;
        match self.stage {
            RejoinStage::Reclaiming => {
                let open = self.permits.iter().filter(|(_, number)| number.is_none());
                out.extend(open.map(|(subject, _)| RejoinAction::Reclaim(*subject)));
            }
            RejoinStage::QueryingPeers => {
                let open = live.iter().filter(|of| !self.told.contains(of));
                out.extend(open.map(|of| RejoinAction::QueryPeer(*of)));
            }
            RejoinStage::ReturningPermits => {
                let number = |(subject, number): (&Subject, &Option<u16>)| {
                    Some(RejoinAction::ReturnPermit(*subject, (*number)?))
                };
                out.extend(self.permits.iter().filter_map(number));
            }
            RejoinStage::Ready => self.again = Micros::MAX,
        }
    }

    /// When [`Rejoin::wake`] is due.
    pub fn next_due(&self) -> Micros {
        self.again
    }
}
