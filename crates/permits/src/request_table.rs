//! The leader's request table: requests that wait for a commit, the latest replies, and when a permit ends. Bounds: 64
//! requests wait and 64 replies are remembered; further requests are denied with [`Denied::Full`].

use crate::bounds::{Denied, Observations};
use crate::settings::PermitSettings;
use crate::state::{PermitState, Subject};
use basaltward_membership::{MemberId, Micros};
use std::collections::{BTreeMap, VecDeque};

/// The largest number of waiting requests, and of remembered replies; it bounds the memory that members can take up by
/// sending requests without end.
const MAX_REQUESTS: usize = 64;

/// The reply to a request: the number of the permit or plan that it concerns, 0 for none.
pub type PermitResult = Result<u16, Denied>;

/// Identifies a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId {
    /// The node that sent it.
    pub node: MemberId,
    /// The tag that the node gave it.
    pub tag: u32,
}

/// A request that is answered once a version is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Waiting {
    version: u32,
    request_id: RequestId,
    /// The number of the permit or plan that answers it, 0 for none.
    number: u16,
}

/// A granted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Granted {
    /// The request.
    pub request_id: RequestId,
    /// The number of the permit or plan that answers it, 0 for none.
    pub number: u16,
}

/// The request table; a new leader starts with an empty one.
#[derive(Debug, Default)]
pub struct RequestTable {
    /// When this leader first knew of a permit.
    first_known: BTreeMap<Subject, Micros>,
    /// When this leader first knew that a permit was returned.
    returned_since: BTreeMap<Subject, Micros>,
    waiting: Vec<Waiting>,
    replies: VecDeque<(RequestId, PermitResult)>,
}

impl RequestTable {
    /// The reply to a request that was received before: `Some(None)` while it waits, none for a new request.
    pub fn reply_to_repeated(&self, request_id: RequestId) -> Option<Option<PermitResult>> {
        let waits = self.waiting.iter().any(|waiting| waiting.request_id == request_id).then_some(None);
        waits.or_else(|| self.replies.iter().find(|(id, _)| *id == request_id).map(|(_, reply)| Some(*reply)))
    }

    /// Remembers a reply for repetitions of its request.
    pub fn record_reply(&mut self, request_id: RequestId, reply: PermitResult) {
        if self.replies.len() == MAX_REQUESTS {
            self.replies.pop_front();
        }
        self.replies.push_back((request_id, reply));
    }

    /// Lets a request wait until this version is committed, to be answered with this number; false if too many wait.
    pub fn wait(&mut self, version: u32, request_id: RequestId, number: u16) -> bool {
        let has_capacity = self.waiting.len() < MAX_REQUESTS;
        if has_capacity {
            self.waiting.push(Waiting { version, request_id, number });
        }
        has_capacity
    }

    /// Removes and returns the requests that the commit of this version answers.
    pub fn committed(&mut self, version: u32) -> Vec<Granted> {
        let (ready, waiting): (Vec<_>, _) =
            self.waiting.drain(..).partition(|waiting| waiting.version <= version);
        self.waiting = waiting;
        ready.into_iter().map(|Waiting { request_id, number, .. }| Granted { request_id, number }).collect()
    }

    /// Records that a permit was granted; discards what was known of an earlier permit of this subject.
    pub fn permit_granted(&mut self, now: Micros, subject: Subject) {
        self.first_known.insert(subject, now);
        self.returned_since.remove(&subject);
    }

    /// Whether a scheduler's permit has been in force during a release for longer than a step may take.
    pub fn is_overdue(&self, now: Micros, state: &PermitState, step_timeout: Micros) -> bool {
        let schedulers =
            state.permits.iter().filter(|permit| matches!(permit.subject, Subject::Scheduler(_)));
        let known = schedulers.filter_map(|permit| self.first_known.get(&permit.subject));
        state.plan.is_some() && known.min().is_some_and(|known| now >= known + step_timeout)
    }

    /// Returns the state without the permits whose subjects have proven to be back in use.
    ///
    /// A permit may be acted on for a lease from when it was requested. Once a silence has passed since this leader
    /// first knew of the permit, its holder can no longer start to act on it, and a settling time later the membership
    /// shows whether its subject is out. A returned permit may end before that: its subject has to be in use for
    /// `min_in_use` after the return. A drained worker's permit ends without a return only if the worker runs as a new
    /// incarnation.
    pub fn without_ended(
        &mut self,
        now: Micros,
        state: &PermitState,
        observations: &Observations,
        settings: &PermitSettings,
    ) -> PermitState {
        self.first_known.retain(|subject, _| state.permit(*subject).is_some());
        self.returned_since.retain(|subject, _| state.permit(*subject).is_some_and(|permit| permit.returned));
        let mut remaining = state.clone();
        for permit in &state.permits {
            let subject = permit.subject;
            let known = *self.first_known.entry(subject).or_insert(now);
            let Some(seen) = observations.get(&subject) else { continue };
            let long_in_use = seen.in_use_for.is_some_and(|used| used >= settings.min_in_use);
            let visible = now >= known + settings.times.silence + settings.settle;
            let returned_since = permit.returned.then(|| *self.returned_since.entry(subject).or_insert(now));
            let without_return = match subject {
                Subject::Scheduler(_) => visible,
                Subject::Worker(_) => visible && seen.incarnation != permit.incarnation,
                // The subject itself returns the permit, once it has learned which of its work was taken over.
                Subject::Site(_) | Subject::Gateway(_) => false,
            };
            if long_in_use
                && (without_return || returned_since.is_some_and(|since| now >= since + settings.min_in_use))
            {
                remaining.remove(subject);
            }
        }
        remaining
    }
}
