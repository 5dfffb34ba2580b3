//! The leader's request table: what is asked for, what is answered once it is agreed, and when a permit ends. Bounds: 64
//! requests wait and 64 answers are remembered; who asks beyond that is told that the table is full.

use crate::bounds::{Denied, Observations};
use crate::settings::PermitSettings;
use crate::state::{PermitState, Subject};
use basaltward_membership::{MemberId, Micros};
use std::collections::{BTreeMap, VecDeque};

/// Requests that wait and answers that are remembered, each at most: whoever asks without end waits.
const MAX_REQUESTS: usize = 64;

/// What is answered: the number of the permit that it is about, 0 where it is about none.
pub type PermitResult = Result<u16, Denied>;

/// Whose request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asker {
    /// The node.
    pub node: MemberId,
    /// The request's number there.
    pub tag: u32,
}

/// A request that is answered once a version is agreed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Waiting {
    version: u32,
    asker: Asker,
    /// The permit that it is answered by, 0 for none.
    number: u16,
}

/// A request with the permit that answers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Granted {
    /// Whose request.
    pub asker: Asker,
    /// The permit's number, 0 for none.
    pub number: u16,
}

/// A leader's request table; a new leader has a new one.
#[derive(Debug, Default)]
pub struct RequestTable {
    /// When this leader first knew of a permit.
    known: BTreeMap<Subject, Micros>,
    /// When this leader first knew that nothing more is done by it.
    back: BTreeMap<Subject, Micros>,
    waiting: Vec<Waiting>,
    answered: VecDeque<(Asker, PermitResult)>,
}

impl RequestTable {
    /// The answer that this request has had, or that it waits; nothing where it is new.
    pub fn repeated(&self, asker: Asker) -> Option<Option<PermitResult>> {
        let waits = self.waiting.iter().any(|waiting| waiting.asker == asker).then_some(None);
        waits.or_else(|| self.answered.iter().find(|(of, _)| *of == asker).map(|(_, answer)| Some(*answer)))
    }

    /// Remembers an answer, which may have to be given again.
    pub fn answer(&mut self, asker: Asker, answer: PermitResult) {
        if self.answered.len() == MAX_REQUESTS {
            self.answered.pop_front();
        }
        self.answered.push_back((asker, answer));
    }

    /// A request waits until this version is agreed, and is answered by this number then; false where too many
    /// wait.
    pub fn wait(&mut self, version: u32, asker: Asker, number: u16) -> bool {
        let room = self.waiting.len() < MAX_REQUESTS;
        if room {
            self.waiting.push(Waiting { version, asker, number });
        }
        room
    }

    /// This version is agreed: the requests that are answered by it.
    pub fn agreed(&mut self, version: u32) -> Vec<Granted> {
        let (ready, waiting): (Vec<_>, _) =
            self.waiting.drain(..).partition(|waiting| waiting.version <= version);
        self.waiting = waiting;
        ready.into_iter().map(|Waiting { asker, number, .. }| Granted { asker, number }).collect()
    }

    /// A permit is given anew: what was known of an earlier one of its subject says nothing of it.
    pub fn given(&mut self, now: Micros, subject: Subject) {
        self.known.insert(subject, now);
        self.back.remove(&subject);
    }

    /// Whether a scheduler's permit has stood for longer than a step may take.
    pub fn is_overdue(&self, now: Micros, state: &PermitState, step: Micros) -> bool {
        let schedulers =
            state.permits.iter().filter(|permit| matches!(permit.subject, Subject::Scheduler(_)));
        let known = schedulers.filter_map(|permit| self.known.get(&permit.subject));
        state.plan.is_some() && known.min().is_some_and(|known| now >= known + step)
    }

    /// The state without the permits whose subjects have proven to be back.
    ///
    /// A permit may be acted on for a lease from when it was asked for, so that a silence after we first knew of it
    /// nobody begins to any more; a settling time later our view shows who did. Whoever asked may say earlier that
    /// it is done. A drained worker is back when it is a new one, or when whoever drained it says so, and has been
    /// used since.
    pub fn settle(
        &mut self,
        now: Micros,
        state: &PermitState,
        observations: &Observations,
        settings: &PermitSettings,
    ) -> PermitState {
        self.known.retain(|subject, _| state.permit(*subject).is_some());
        self.back.retain(|subject, _| state.permit(*subject).is_some_and(|permit| permit.returned));
        let mut left = state.clone();
        for permit in &state.permits {
            let subject = permit.subject;
            let known = *self.known.entry(subject).or_insert(now);
            let Some(seen) = observations.get(&subject) else { continue };
            let warm = seen.in_use_for.is_some_and(|used| used >= settings.min_in_use);
            let shown = now >= known + settings.times.silence + settings.settle;
            let back = permit.returned.then(|| *self.back.entry(subject).or_insert(now));
            let by_itself = match subject {
                Subject::Scheduler(_) => shown,
                Subject::Worker(_) => shown && seen.incarnation != permit.incarnation,
                // What was done in its place it has to learn first, and says so.
                Subject::Site(_) | Subject::Gateway(_) => false,
            };
            if warm && (by_itself || back.is_some_and(|since| now >= since + settings.min_in_use)) {
                left.remove(subject);
            }
        }
        left
    }
}
