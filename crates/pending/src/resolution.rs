//! Decides what happens to a pending event of a lost gateway. This is the only place that decides it.

use crate::types::{Outcome, RepeatSafety, WallMs};

/// Whether the first byte of an event was sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub enum FirstSend {
    /// It was not sent: every gateway that could have a record of it has confirmed this.
    Never,
    /// It may have been sent, first at this time.
    At(WallMs),
    /// A gateway or an entry that is needed to decide is missing.
    Unknown,
}

impl FirstSend {
    /// Combines the records of two gateways: the earliest time wins, and `Unknown` stays `Unknown`.
    pub fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::At(one), Self::At(two)) => Self::At(one.min(two)),
            (at @ Self::At(_), Self::Never) | (Self::Never, at) => at,
        }
    }
}

/// The facts about a pending event on which its [`Resolution`] depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RecoveryCase {
    /// Whether it may be sent again after it was sent once.
    pub repeat_safety: RepeatSafety,
    /// Whether it is completed even if its client is gone.
    pub finish_without_client: bool,
    /// Whether a client is waiting for it at any gateway.
    pub client_waiting: bool,
    /// When its client stops waiting.
    pub deadline: WallMs,
    /// Whether it was sent.
    pub first_send: FirstSend,
    /// How it ended, if it did, and whether its answer was recorded.
    pub ended: Option<(Outcome, bool)>,
}

/// The decision about an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Resolution {
    /// It was never sent: run it now.
    Run,
    /// Run it again, which is safe.
    RunAgain,
    /// Send it again under its key, before this time.
    SameKey {
        /// Workers may have discarded the key from this time on.
        before: WallMs,
    },
    /// Don't run it; repeats are answered that it may have run.
    MayHaveRun,
    /// It was served: repeats get the recorded answer.
    Replay,
    /// It was served, but the answer was too long to be recorded; repeats are answered with that error.
    AnswerLost,
    /// It ended without an answer; repeats get its outcome.
    Ended(Outcome),
    /// Its deadline has passed: it is ended and counted, and the answer to repeats states whether it may have run.
    Closed {
        /// It may have run.
        may_have_run: bool,
    },
    /// Drop it: no client waits, its class does not require it, and a repeat may run.
    Dropped,
}

impl Resolution {
    /// Whether a worker has to run the event.
    pub fn runs_event(self) -> bool {
        matches!(self, Self::Run | Self::RunAgain | Self::SameKey { .. })
    }

    /// The outcome to record for repeats if the event is not run. `None` if it is run or its end is already recorded.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Self::MayHaveRun | Self::Closed { may_have_run: true } => Some(Outcome::Failed),
            Self::Closed { may_have_run: false } | Self::Dropped => Some(Outcome::Refused),
            _ => None,
        }
    }
}

/// Decides about an event at the local wall-clock time `now`. The clocks of other gateways may differ by up to
/// `slack`; an event whose time may have passed by any of them counts as too late.
pub fn resolve(now: WallMs, slack: WallMs, case: &RecoveryCase) -> Resolution {
    let latest = now.saturating_add(slack);
    let may_have_run = case.first_send != FirstSend::Never;
    match (case.ended, case.repeat_safety, case.first_send) {
        (Some((Outcome::Served, true)), ..) => Resolution::Replay,
        (Some((Outcome::Served, false)), ..) => Resolution::AnswerLost,
        (Some((outcome, _)), ..) => Resolution::Ended(outcome),
        _ if latest >= case.deadline => Resolution::Closed { may_have_run },
        (None, RepeatSafety::Safe, _) if !case.finish_without_client && !case.client_waiting => {
            Resolution::Dropped
        }
        (None, _, FirstSend::Never) => Resolution::Run,
        (None, RepeatSafety::Safe, _) => Resolution::RunAgain,
        (None, RepeatSafety::Keyed { window }, FirstSend::At(first)) => {
            let before = first.saturating_add(window / 1_000).saturating_sub(slack);
            if now < before { Resolution::SameKey { before } } else { Resolution::MayHaveRun }
        }
        // It is unknown when the key's window began.
        (None, RepeatSafety::Keyed { .. } | RepeatSafety::Unsafe, _) => Resolution::MayHaveRun,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const KEYED: RepeatSafety = RepeatSafety::Keyed { window: 5_000_000 };
    const AT: FirstSend = FirstSend::At(1_000);

    /// A case for `resolve` at time 10,000 with a slack of 100.
    fn case(repeat_safety: RepeatSafety, first_send: FirstSend) -> RecoveryCase {
        RecoveryCase {
            repeat_safety,
            finish_without_client: true,
            client_waiting: false,
            deadline: 20_000,
            first_send,
            ended: None,
        }
    }

    #[test]
    fn each_case_has_one_resolution() {
        use RepeatSafety::{Safe, Unsafe};
        let ended = |outcome, recorded| RecoveryCase { ended: Some((outcome, recorded)), ..case(Unsafe, AT) };
        let late = |again, sent| RecoveryCase { deadline: 10_100, ..case(again, sent) };
        let client_gone = |again, sent| RecoveryCase { finish_without_client: false, ..case(again, sent) };
        let closed = |may_have_run| Resolution::Closed { may_have_run };
        let in_window = FirstSend::At(5_200);
        let table = [
            (case(Safe, FirstSend::Never), Resolution::Run),
            (case(KEYED, FirstSend::Never), Resolution::Run),
            (case(Unsafe, FirstSend::Never), Resolution::Run),
            (case(Safe, AT), Resolution::RunAgain),
            (case(Safe, FirstSend::Unknown), Resolution::RunAgain),
            (case(KEYED, in_window), Resolution::SameKey { before: 10_100 }),
            // The window ends at 10,000 by a clock that may be 100 ahead of the local one.
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
            (client_gone(Safe, FirstSend::Never), Resolution::Dropped),
            (client_gone(Safe, AT), Resolution::Dropped),
            (RecoveryCase { client_waiting: true, ..client_gone(Safe, AT) }, Resolution::RunAgain),
            (client_gone(KEYED, FirstSend::Never), Resolution::Run),
            (client_gone(Unsafe, FirstSend::Never), Resolution::Run),
            (client_gone(Unsafe, AT), Resolution::MayHaveRun),
        ];
        for (case, expected) in table {
            assert_eq!(resolve(10_000, 100, &case), expected, "{case:?}");
        }
    }

    #[test]
    fn an_unsafe_event_runs_only_if_no_gateway_may_have_sent_it() {
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
