//! What becomes of a pending event whose owner is lost. The one place that decides it.

use crate::types::{Outcome, RepeatSafety, WallMs};

/// Whether an event's first byte has left for a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub enum FirstSend {
    /// It has not: all that could know have said so.
    Never,
    /// It may have, first at this time.
    At(WallMs),
    /// Something that could tell is missing.
    Unknown,
}

impl FirstSend {
    /// What two that know of it know together: the earliest time, and what is missing stays missing.
    pub fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::At(one), Self::At(two)) => Self::At(one.min(two)),
            (at @ Self::At(_), Self::Never) | (Self::Never, at) => at,
        }
    }
}

/// What is known of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RecoveryCase {
    /// What may be done once it was sent.
    pub repeat_safety: RepeatSafety,
    /// It is done though its client may be gone.
    pub finish_without_client: bool,
    /// A client waits for it, at whichever gateway.
    pub client_waiting: bool,
    /// When its client gives up.
    pub deadline: WallMs,
    /// Whether it was sent.
    pub first_send: FirstSend,
    /// How it ended, if it did, and whether its answer was kept.
    pub ended: Option<(Outcome, bool)>,
}

/// How it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Resolution {
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

impl Resolution {
    /// Whether a worker has to do something.
    pub fn runs_event(self) -> bool {
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
pub fn resolve(now: WallMs, slack: WallMs, case: &RecoveryCase) -> Resolution {
    let latest = now.saturating_add(slack);
    let may_have_run = case.first_send != FirstSend::Never;
    match (case.ended, case.repeat_safety, case.first_send) {
        (Some((Outcome::Served, true)), ..) => Resolution::Replay,
        (Some((Outcome::Served, false)), ..) => Resolution::AnswerLost,
        (Some((outcome, _)), ..) => Resolution::Ended(outcome),
        _ if latest >= case.deadline => Resolution::Closed { may_have_run },
        (None, RepeatSafety::Safe, _) if !case.finish_without_client && !case.client_waiting => {
            Resolution::LetGo
        }
        (None, _, FirstSend::Never) => Resolution::Run,
        (None, RepeatSafety::Safe, _) => Resolution::RunAgain,
        (None, RepeatSafety::Keyed { window }, FirstSend::At(first)) => {
            let before = first.saturating_add(window / 1_000).saturating_sub(slack);
            if now < before { Resolution::SameKey { before } } else { Resolution::MayHaveRun }
        }
        // A key's window runs from a time that nobody knows.
        (None, RepeatSafety::Keyed { .. } | RepeatSafety::Unsafe, _) => Resolution::MayHaveRun,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const KEYED: RepeatSafety = RepeatSafety::Keyed { window: 5_000_000 };
    const AT: FirstSend = FirstSend::At(1_000);

    /// At 10,000 with a slack of 100.
    fn case(again: RepeatSafety, sent: FirstSend) -> RecoveryCase {
        RecoveryCase {
            repeat_safety: again,
            finish_without_client: true,
            client_waiting: false,
            deadline: 20_000,
            first_send: sent,
            ended: None,
        }
    }

    #[test]
    fn each_case_has_one_end() {
        use RepeatSafety::{Safe, Unsafe};
        let ended = |outcome, kept| RecoveryCase { ended: Some((outcome, kept)), ..case(Unsafe, AT) };
        let late = |again, sent| RecoveryCase { deadline: 10_100, ..case(again, sent) };
        let gone = |again, sent| RecoveryCase { finish_without_client: false, ..case(again, sent) };
        let closed = |may_have_run| Resolution::Closed { may_have_run };
        let in_window = FirstSend::At(5_200);
        let table = [
            (case(Safe, FirstSend::Never), Resolution::Run),
            (case(KEYED, FirstSend::Never), Resolution::Run),
            (case(Unsafe, FirstSend::Never), Resolution::Run),
            (case(Safe, AT), Resolution::RunAgain),
            (case(Safe, FirstSend::Unknown), Resolution::RunAgain),
            (case(KEYED, in_window), Resolution::SameKey { before: 10_100 }),
            // The window ends at 10,000 by a clock that may be 100 ahead of ours.
            (case(KEYED, FirstSend::At(5_000)), Resolution::MayHaveRun),
            (case(KEYED, FirstSend::At(5_100)), Resolution::MayHaveRun),
            (case(KEYED, FirstSend::Unknown), Resolution::MayHaveRun),
            (case(Unsafe, AT), Resolution::MayHaveRun),
            (case(Unsafe, FirstSend::Unknown), Resolution::MayHaveRun),
            (ended(Outcome::Served, true), Resolution::Replay),
            (ended(Outcome::Served, false), Resolution::AnswerLost),
            (ended(Outcome::Refused, false), Resolution::Ended(Outcome::Refused)),
            (ended(Outcome::Failed, false), Resolution::Ended(Outcome::Failed)),
            (RecoveryCase { deadline: 0, ..ended(Outcome::Served, true) }, Resolution::Replay),
            (late(Safe, FirstSend::Never), closed(false)),
            (late(Unsafe, AT), closed(true)),
            (late(KEYED, FirstSend::Unknown), closed(true)),
            (RecoveryCase { deadline: 10_101, ..case(Unsafe, FirstSend::Never) }, Resolution::Run),
            (gone(Safe, FirstSend::Never), Resolution::LetGo),
            (gone(Safe, AT), Resolution::LetGo),
            (RecoveryCase { client_waiting: true, ..gone(Safe, AT) }, Resolution::RunAgain),
            (gone(KEYED, FirstSend::Never), Resolution::Run),
            (gone(Unsafe, FirstSend::Never), Resolution::Run),
            (gone(Unsafe, AT), Resolution::MayHaveRun),
        ];
        for (case, told) in table {
            assert_eq!(resolve(10_000, 100, &case), told, "{case:?}");
        }
    }

    #[test]
    fn an_unsafe_event_runs_only_where_all_say_it_never_did() {
        for sent in [FirstSend::Never, AT, FirstSend::Unknown] {
            for other in [FirstSend::Never, AT, FirstSend::At(2_000), FirstSend::Unknown] {
                let both = sent.merge(other);
                assert_eq!(both, other.merge(sent));
                let runs = resolve(10_000, 100, &case(RepeatSafety::Unsafe, both)).runs_event();
                assert_eq!(runs, (sent, other) == (FirstSend::Never, FirstSend::Never));
            }
        }
        assert_eq!(FirstSend::At(2_000).merge(AT), AT);
    }
}
