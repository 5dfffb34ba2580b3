//! When the events of a lost site or gateway are taken over, and what a returning gateway does first. The membership
//! view alone never suffices: all promises to the lost gateway must have expired, and the voters must have granted a
//! permit.

use crate::lease::HolderPromises;
use basaltward_membership::{MemberId, Micros, SiteMap};
use basaltward_permits::{Observations, PermitState, Subject};
use std::collections::{BTreeMap, BTreeSet};

/// Retry interval of requests to voters and peers. Gateways that request the same permit start this much after one
/// another.
const RETRY_INTERVAL: Micros = 300_000;
/// Up to this many gateways request one after another; all further ones request together with the last.
const MAX_REQUEST_RANK: u64 = 8;

/// An action of [`TakeoverMonitor`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TakeoverAction {
    /// Request the permit from the voters: `PermitRequest::Acquire`.
    RequestPermit(Subject),
    /// Take over the events of these lives of the gateways and of all earlier ones: [`crate::Recovery::take_over`].
    Begin {
        /// The lost site or gateway.
        subject: Subject,
        /// Number of the permit.
        permit: u16,
        /// Its gateways, each with its last life that has ended.
        lives: Vec<(MemberId, u64)>,
    },
    /// The permit was returned: its subject has learned the status of its events.
    Returned(Subject),
    /// This gateway itself was taken over: pending events of this life belong to others, see [`Rejoin`].
    LostOwnership,
}

/// Tracks which sites and gateways are taken over, as seen by one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TakeoverMonitor {
    sites: Vec<u8>,
    own: MemberId,
    /// Lost subjects to which all promises have expired, each with the time of the next permit request.
    next_request: BTreeMap<Subject, Micros>,
    /// Current permits, each with its number and whether this gateway has begun the takeover.
    permits: BTreeMap<Subject, (u16, bool)>,
    injected_fault: Option<TakeoverFault>,
}

/// Faults that tests inject and have to detect.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TakeoverFault {
    /// A subject is taken over as soon as the view shows it as lost.
    IgnoresPermits,
}

impl TakeoverMonitor {
    /// Nothing is taken over yet.
    pub fn new(site_map: &SiteMap) -> Self {
        let sites = (0..site_map.len() as MemberId).filter_map(|of| site_map.site_of(of)).collect();
        Self {
            sites,
            own: site_map.own(),
            next_request: BTreeMap::new(),
            permits: BTreeMap::new(),
            injected_fault: None,
        }
    }

    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: TakeoverFault) {
        self.injected_fault = Some(fault);
    }

    /// Whether there is a permit for the subject and this gateway has begun to take over its events.
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

    /// Position of this gateway in the order in which gateways request the permit for these members.
    fn request_rank(&self, members: &[MemberId]) -> u64 {
        let size = self.sites.len().max(1) as u64;
        let first = members.first().map_or(0, |of| u64::from(*of));
        ((u64::from(self.own) + size - first) % size).min(MAX_REQUEST_RANK)
    }

    /// Evaluates the membership view (see `basaltward_permits::sites`) and the agreed permits. `life` returns the
    /// latest known life of a gateway, from the view or a journal. Called again at [`TakeoverMonitor::next_due`] and
    /// when either input changes.
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
            let expired = members.iter().all(|of| promises.has_expired(now, *of));
            if permit_state.permit(subject).is_some() || !expired {
                continue;
            }
            let rank = self.request_rank(&members);
            let next = self.next_request.entry(subject).or_insert(now + RETRY_INTERVAL * rank);
            if now >= *next {
                *next = now + RETRY_INTERVAL * (MAX_REQUEST_RANK + 1);
                out.push(TakeoverAction::RequestPermit(subject));
            }
        }
        for permit in permit_state.permits.iter().filter(|permit| permit.subject.allows_takeover()) {
            self.on_permit(now, permit.subject, permit.number, &life, promises, out);
        }
        let returned = |of: &Subject| permit_state.permit(*of).is_none() && self.injected_fault.is_none();
        let returned: Vec<Subject> = self.permits.keys().copied().filter(returned).collect();
        for subject in returned {
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
        // From here on no promise is renewed, so the existing ones expire.
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
        let lives = members.iter().map(|of| (*of, promises.fenced_life(*of).unwrap_or(0))).collect();
        out.push(TakeoverAction::Begin { subject, permit, lives });
    }

    /// When to call [`TakeoverMonitor::update`] again even if no input has changed.
    pub fn next_due(&self, now: Micros) -> Micros {
        let waiting = self.permits.values().any(|(_, begun)| !begun);
        let requests = self.next_request.values().min().copied();
        requests.into_iter().chain(waiting.then_some(now + RETRY_INTERVAL)).min().unwrap_or(Micros::MAX)
    }
}

/// An action of a gateway that has started or was taken over, before it accepts events.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RejoinAction {
    /// Query the voters whether the subject was taken over: `PermitRequest::Reclaim`.
    Reclaim(Subject),
    /// Query a peer for the status of the pending events: [`crate::TakeoverMessage::ReturnQuery`].
    QueryPeer(MemberId),
    /// Return a permit to the voters, as all peers have answered: `PermitRequest::Return`.
    ReturnPermit(Subject, u16),
    /// Events are accepted from now on.
    Ready,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RejoinStage {
    /// Querying the voters for the takeover permits of this site and gateway.
    Reclaiming,
    /// Querying the live peers for the status of the pending events.
    QueryingPeers,
    /// Returning the takeover permits to the voters.
    ReturningPermits,
    /// Accepting events.
    Ready,
}

/// The sequence of actions by which a gateway rejoins, see [`RejoinAction`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rejoin {
    /// This site and this gateway, each with the number of its takeover permit (0 if none) once known.
    permits: BTreeMap<Subject, Option<u16>>,
    /// Peers that have reported everything.
    answered_peers: BTreeSet<MemberId>,
    stage: RejoinStage,
    next_retry: Micros,
}

impl Rejoin {
    /// For a life that starts now.
    pub fn new(site_map: &SiteMap, now: Micros) -> Self {
        let subjects = [Subject::Site(site_map.own_site()), Subject::Gateway(site_map.own())];
        let permits = subjects.map(|subject| (subject, None)).into();
        Self { permits, answered_peers: BTreeSet::new(), stage: RejoinStage::Reclaiming, next_retry: now }
    }

    /// Whether events may be accepted.
    pub fn is_ready(&self) -> bool {
        self.stage == RejoinStage::Ready
    }

    /// The voters have answered `PermitRequest::Reclaim`, and the permit state is from after this life has started.
    pub fn on_reclaim_reply(&mut self, subject: Subject, permit: u16) {
        if self.stage == RejoinStage::Reclaiming {
            self.permits.entry(subject).and_modify(|known| *known = Some(permit));
        }
    }

    /// A peer has reported the status of all pending events.
    pub fn on_peer_answered(&mut self, from: MemberId) {
        self.answered_peers.insert(from);
    }

    /// The voters have answered `PermitRequest::Return`, or there is no such permit.
    pub fn on_permit_returned(&mut self, subject: Subject) {
        if self.stage == RejoinStage::ReturningPermits {
            self.permits.remove(&subject);
        }
    }

    /// Performs the next actions. `live` lists the live peers; a live peer that has not reported everything is waited
    /// for.
    pub fn wake(&mut self, now: Micros, live: &[MemberId], out: &mut Vec<RejoinAction>) {
        let stage_before = self.stage;
        if self.stage == RejoinStage::Reclaiming && self.permits.values().all(Option::is_some) {
            self.stage = RejoinStage::QueryingPeers;
        }
        // A live peer can't be cut off from all gateways that have these statuses, as a majority of the voters has
        // answered before.
        if self.stage == RejoinStage::QueryingPeers && live.iter().all(|of| self.answered_peers.contains(of))
        {
            self.permits.retain(|_, number| number.is_some_and(|number| number != 0));
            self.stage = RejoinStage::ReturningPermits;
        }
        if self.stage == RejoinStage::ReturningPermits && self.permits.is_empty() {
            self.stage = RejoinStage::Ready;
            out.push(RejoinAction::Ready);
        }
        if now < self.next_retry && stage_before == self.stage {
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
