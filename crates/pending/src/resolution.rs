//! What becomes of a pending event whose owner is lost. The one place that decides it.

use crate::types::{Again, Outcome, WallMs};

/// Whether an event's first byte has left for a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub enum Sent {
    /// It has not: all that could know have said so.
    Never,
    /// It may have, first at this time.
    At(WallMs),
    /// Something that could tell is missing.
    Unknown,
}

impl Sent {
    /// What two that know of it know together: the earliest time, and what is missing stays missing.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::At(one), Self::At(two)) => Self::At(one.min(two)),
            (at @ Self::At(_), Self::Never) | (Self::Never, at) => at,
        }
    }
}

/// What is known of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Case {
    /// What may be done once it was sent.
    pub again: Again,
    /// It is done though its client may be gone.
    pub owed: bool,
    /// A client waits for it, at whichever gateway.
    pub waited: bool,
    /// When its client gives up.
    pub deadline: WallMs,
    /// Whether it was sent.
    pub sent: Sent,
    /// How it ended, if it did, and whether its answer was kept.
    pub ended: Option<(Outcome, bool)>,
}

/// How it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// It never ran: it is run now.
    Run,
    /// It is run once more, which does no harm.
    RunAgain,
    /// It is sent once more under its key, if that is done before this time.
    SameKey {
        /// Workers may have forgotten the key from then on.
        before: WallMs,
    },
    /// It is not run; a repeat is told that it may have run.
    MayHaveRun,
    /// It was served: the answer is told again.
    Replay,
    /// It was served, and the answer was too long to be kept: a repeat is told so.
    AnswerLost,
    /// It ended without an answer: a repeat is told how.
    Ended(Outcome),
    /// Its time is over: closed and counted; whether it never ran is told.
    Closed {
        /// It may have run.
        may_have_run: bool,
    },
    /// Nobody waits for it, its class does not ask for it and a repeat may run: it is let go.
    LetGo,
}

impl End {
    /// Whether a worker has to do something.
    pub fn runs(self) -> bool {
        matches!(self, Self::Run | Self::RunAgain | Self::SameKey { .. })
    }

    /// What is recorded for repeats where no worker is asked; none where one is, or where an end is recorded already.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Self::MayHaveRun | Self::Closed { may_have_run: true } => Some(Outcome::Failed),
            Self::Closed { may_have_run: false } | Self::LetGo => Some(Outcome::Refused),
            _ => None,
        }
    }
}

/// How an event ends at this time of our wall clock. Others' may differ by up to `slack`: what could be too late by
/// theirs is too late.
pub fn end(now: WallMs, slack: WallMs, case: &Case) -> End {
    let latest = now.saturating_add(slack);
    let may_have_run = case.sent != Sent::Never;
    match (case.ended, case.again, case.sent) {
        (Some((Outcome::Served, true)), ..) => End::Replay,
        (Some((Outcome::Served, false)), ..) => End::AnswerLost,
        (Some((outcome, _)), ..) => End::Ended(outcome),
        _ if latest >= case.deadline => End::Closed { may_have_run },
        (None, Again::Safe, _) if !case.owed && !case.waited => End::LetGo,
        (None, _, Sent::Never) => End::Run,
        (None, Again::Safe, _) => End::RunAgain,
        (None, Again::Keyed { window }, Sent::At(first)) => {
            let before = first.saturating_add(window / 1_000).saturating_sub(slack);
            if now < before { End::SameKey { before } } else { End::MayHaveRun }
        }
        // A key's window runs from a time that nobody knows.
        (None, Again::Keyed { .. } | Again::Unsafe, _) => End::MayHaveRun,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const KEYED: Again = Again::Keyed { window: 5_000_000 };
    const AT: Sent = Sent::At(1_000);

    /// At 10,000 with a slack of 100.
    fn of(again: Again, sent: Sent) -> Case {
        Case { again, owed: true, waited: false, deadline: 20_000, sent, ended: None }
    }

    #[test]
    fn each_case_has_one_end() {
        use Again::{Safe, Unsafe};
        let ended = |outcome, kept| Case { ended: Some((outcome, kept)), ..of(Unsafe, AT) };
        let late = |again, sent| Case { deadline: 10_100, ..of(again, sent) };
        let gone = |again, sent| Case { owed: false, ..of(again, sent) };
        let closed = |may_have_run| End::Closed { may_have_run };
        let in_window = Sent::At(5_200);
        let table = [
            (of(Safe, Sent::Never), End::Run),
            (of(KEYED, Sent::Never), End::Run),
            (of(Unsafe, Sent::Never), End::Run),
            (of(Safe, AT), End::RunAgain),
            (of(Safe, Sent::Unknown), End::RunAgain),
            (of(KEYED, in_window), End::SameKey { before: 10_100 }),
            // The window ends at 10,000 by a clock that may be 100 ahead of ours.
            (of(KEYED, Sent::At(5_000)), End::MayHaveRun),
            (of(KEYED, Sent::At(5_100)), End::MayHaveRun),
            (of(KEYED, Sent::Unknown), End::MayHaveRun),
            (of(Unsafe, AT), End::MayHaveRun),
            (of(Unsafe, Sent::Unknown), End::MayHaveRun),
            (ended(Outcome::Served, true), End::Replay),
            (ended(Outcome::Served, false), End::AnswerLost),
            (ended(Outcome::Refused, false), End::Ended(Outcome::Refused)),
            (ended(Outcome::Failed, false), End::Ended(Outcome::Failed)),
            (Case { deadline: 0, ..ended(Outcome::Served, true) }, End::Replay),
            (late(Safe, Sent::Never), closed(false)),
            (late(Unsafe, AT), closed(true)),
            (late(KEYED, Sent::Unknown), closed(true)),
            (Case { deadline: 10_101, ..of(Unsafe, Sent::Never) }, End::Run),
            (gone(Safe, Sent::Never), End::LetGo),
            (gone(Safe, AT), End::LetGo),
            (Case { waited: true, ..gone(Safe, AT) }, End::RunAgain),
            (gone(KEYED, Sent::Never), End::Run),
            (gone(Unsafe, Sent::Never), End::Run),
            (gone(Unsafe, AT), End::MayHaveRun),
        ];
        for (case, told) in table {
            assert_eq!(end(10_000, 100, &case), told, "{case:?}");
        }
    }

    #[test]
    fn an_unsafe_event_runs_only_where_all_say_it_never_did() {
        for sent in [Sent::Never, AT, Sent::Unknown] {
            for other in [Sent::Never, AT, Sent::At(2_000), Sent::Unknown] {
                let both = sent.and(other);
                assert_eq!(both, other.and(sent));
                let runs = end(10_000, 100, &of(Again::Unsafe, both)).runs();
                assert_eq!(runs, (sent, other) == (Sent::Never, Sent::Never));
            }
        }
        assert_eq!(Sent::At(2_000).and(AT), AT);
    }
}
