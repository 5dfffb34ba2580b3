//! When what a lost site or gateway had pending is done by others, and what one that returns does first. Never by the
//! view alone: what was promised to it has run out, and the voters have given a permit.

use crate::lease::HolderPromises;
use basaltward_membership::{MemberId, Micros, SiteMap};
use basaltward_permits::{Observations, PermitState, Subject};
use std::collections::{BTreeMap, BTreeSet};

/// The voters are asked again after this; whoever is not the first to ask waits as long for each that is.
const RETRY_INTERVAL: Micros = 300_000;
/// So many ask one after another, the others with the last.
const MAX_REQUEST_RANK: u64 = 8;

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
    next_request: BTreeMap<Subject, Micros>,
    /// Permits that stand, and whether we have begun.
    permits: BTreeMap<Subject, (u16, bool)>,
    injected_fault: Option<TakeoverFault>,
}

/// Faults that checkers must find.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TakeoverFault {
    /// Who is seen to be lost is taken over at once.
    IgnoresPermits,
}

impl TakeoverMonitor {
    /// Nobody is taken over.
    pub fn new(places: &SiteMap) -> Self {
        let sites = (0..places.len() as MemberId).filter_map(|of| places.site_of(of)).collect();
        Self {
            sites,
            own: places.own(),
            next_request: BTreeMap::new(),
            permits: BTreeMap::new(),
            injected_fault: None,
        }
    }

    #[doc(hidden)]
    pub fn inject_fault(&mut self, planted: TakeoverFault) {
        self.injected_fault = Some(planted);
    }

    /// Whether its permit stands and we do what it had pending.
    pub fn has_begun(&self, subject: Subject) -> bool {
        self.permits.get(&subject).is_some_and(|(_, begun)| *begun)
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
    fn request_rank(&self, members: &[MemberId]) -> u64 {
        let size = self.sites.len().max(1) as u64;
        let first = members.first().map_or(0, |of| u64::from(*of));
        ((u64::from(self.own) + size - first) % size).min(MAX_REQUEST_RANK)
    }

    /// Looks at what the view shows (see `basaltward_permits::sites`) and at what is agreed. `life` is the latest that
    /// is known of a gateway, by the view or by a journal. Asked again by [`TakeoverMonitor::next_due`] and when either changes.
    pub fn update(
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
        self.next_request.retain(|of, _| lost.contains(of));
        for subject in lost {
            let members = self.members(subject);
            if members.contains(&self.own) || members.is_empty() {
                continue;
            }
            if self.injected_fault == Some(TakeoverFault::IgnoresPermits) {
                self.begin_takeover(subject, 0, &members, &life, promises, out);
                continue;
            }
            let free = members.iter().all(|of| promises.has_expired(now, *of));
            if permit_state.permit(subject).is_some() || !free {
                continue;
            }
            let turn = self.request_rank(&members);
            let next = self.next_request.entry(subject).or_insert(now + RETRY_INTERVAL * turn);
            if now >= *next {
                *next = now + RETRY_INTERVAL * (MAX_REQUEST_RANK + 1);
                out.push(TakeoverAction::RequestPermit(subject));
            }
        }
        for permit in permit_state.permits.iter().filter(|permit| permit.subject.allows_takeover()) {
            self.on_permit(now, permit.subject, permit.number, &life, promises, out);
        }
        let over = |of: &Subject| permit_state.permit(*of).is_none() && self.injected_fault.is_none();
        let over: Vec<Subject> = self.permits.keys().copied().filter(over).collect();
        for subject in over {
            self.permits.remove(&subject);
            out.push(TakeoverAction::Returned(subject));
        }
    }

    fn on_permit(
        &mut self,
        now: Micros,
        subject: Subject,
        permit: u16,
        life: &impl Fn(MemberId) -> u64,
        promises: &mut HolderPromises,
        out: &mut Vec<TakeoverAction>,
    ) {
        let members = self.members(subject);
        let known = self.permits.get(&subject).copied();
        if known == Some((permit, true)) {
            return;
        }
        if members.contains(&self.own) {
            self.permits.insert(subject, (permit, true));
            out.push(TakeoverAction::LostOwnership);
            return;
        }
        self.permits.insert(subject, (permit, false));
        // From here on nothing is promised, so that what was promised does run out.
        members.iter().for_each(|of| promises.fence(*of, life(*of)));
        if members.iter().all(|of| promises.has_expired(now, *of)) {
            self.begin_takeover(subject, permit, &members, life, promises, out);
        }
    }

    fn begin_takeover(
        &mut self,
        subject: Subject,
        permit: u16,
        members: &[MemberId],
        life: &impl Fn(MemberId) -> u64,
        promises: &mut HolderPromises,
        out: &mut Vec<TakeoverAction>,
    ) {
        if self.permits.insert(subject, (permit, true)) == Some((permit, true)) {
            return;
        }
        members.iter().for_each(|of| promises.fence(*of, life(*of)));
        let lives = members.iter().map(|of| (*of, promises.closed(*of).unwrap_or(0))).collect();
        out.push(TakeoverAction::Begin { subject, permit, lives });
    }

    /// When to look again though nothing has changed.
    pub fn next_due(&self, now: Micros) -> Micros {
        let waits = self.permits.values().any(|(_, begun)| !begun);
        let asks = self.next_request.values().min().copied();
        asks.into_iter().chain(waits.then_some(now + RETRY_INTERVAL)).min().unwrap_or(Micros::MAX)
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
    answered_peers: BTreeSet<MemberId>,
    stage: RejoinStage,
    next_retry: Micros,
}

impl Rejoin {
    /// Of a life that begins now.
    pub fn new(places: &SiteMap, now: Micros) -> Self {
        let subjects = [Subject::Site(places.own_site()), Subject::Gateway(places.own())];
        let permits = subjects.map(|subject| (subject, None)).into();
        Self { permits, answered_peers: BTreeSet::new(), stage: RejoinStage::Reclaiming, next_retry: now }
    }

    /// Whether kept events may be taken.
    pub fn is_ready(&self) -> bool {
        self.stage == RejoinStage::Ready
    }

    /// The voters have answered `PermitRequest::Reclaim`, after any life of ours that it knows of began.
    pub fn on_reclaim_reply(&mut self, subject: Subject, permit: u16) {
        if self.stage == RejoinStage::Reclaiming {
            self.permits.entry(subject).and_modify(|known| *known = Some(permit));
        }
    }

    /// A peer has told all that was done in our place.
    pub fn on_peer_answered(&mut self, from: MemberId) {
        self.answered_peers.insert(from);
    }

    /// The voters have answered `PermitRequest::Return`, or that no such permit stands.
    pub fn on_permit_returned(&mut self, subject: Subject) {
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
        if self.stage == RejoinStage::QueryingPeers && live.iter().all(|of| self.answered_peers.contains(of))
        {
            self.permits.retain(|_, number| number.is_some_and(|number| number != 0));
            self.stage = RejoinStage::ReturningPermits;
        }
        if self.stage == RejoinStage::ReturningPermits && self.permits.is_empty() {
            self.stage = RejoinStage::Ready;
            out.push(RejoinAction::Ready);
        }
        if now < self.next_retry && was == self.stage {
            return;
        }
        self.next_retry = now + RETRY_INTERVAL;
        match self.stage {
            RejoinStage::Reclaiming => {
                let open = self.permits.iter().filter(|(_, number)| number.is_none());
                out.extend(open.map(|(subject, _)| RejoinAction::Reclaim(*subject)));
            }
            RejoinStage::QueryingPeers => {
                let open = live.iter().filter(|of| !self.answered_peers.contains(of));
                out.extend(open.map(|of| RejoinAction::QueryPeer(*of)));
            }
            RejoinStage::ReturningPermits => {
                let number = |(subject, number): (&Subject, &Option<u16>)| {
                    Some(RejoinAction::ReturnPermit(*subject, (*number)?))
                };
                out.extend(self.permits.iter().filter_map(number));
            }
            RejoinStage::Ready => self.next_retry = Micros::MAX,
        }
    }

    /// When [`Rejoin::wake`] is due.
    pub fn next_due(&self) -> Micros {
        self.next_retry
    }
}
