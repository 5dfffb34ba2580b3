//! Answers that are not a reply: `application/problem+json` (RFC 9457) with `outcome` and `retryable`.

use basaltward::{Micros, Repeat};
use basaltward_engine::{Failure, Refusal};
use serde_json::json;

/// What a client is told in place of a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// `rejected`, `refused` or `failed`.
    pub outcome: &'static str,
    /// Whether sending the same event again is harmless.
    pub retryable: bool,
    /// Seconds for `Retry-After`.
    pub retry_after: Option<u64>,
    /// What happened and what to do.
    pub detail: String,
}

impl Problem {
    /// Bad input: nothing has changed.
    pub fn rejected(status: u16, detail: impl Into<String>) -> Self {
        Self { status, outcome: "rejected", retryable: false, retry_after: None, detail: detail.into() }
    }

    /// A refusal.
    pub fn refused(why: Refusal, wait: Option<Micros>) -> Self {
        let detail = match why {
            Refusal::Overload => {
                "the workers have more than they can do in time; the call did not take effect"
            }
            Refusal::TooManyInFlight => "too many calls are in hand here; the call was not begun",
            Refusal::Backlogged => "this gateway has fallen behind; the call was not begun",
            Refusal::TooLittleTime => "too little of the call's time is left to begin it",
            Refusal::NotStarted => "no worker could begin the call in its time; it did not take effect",
            Refusal::GuardLimit => "this tenant has too many recent calls that must not run twice; not begun",
            Refusal::NotReplicated => {
                "no gateway of another site can hold the event, as its class asks; it was not begun"
            }
            Refusal::Stopping => "this gateway is stopping; send the event to another one",
        };
        let retry_after = wait.map(|w| w.div_ceil(1_000_000));
        Self { status: 503, outcome: "refused", retryable: true, retry_after, detail: detail.into() }
    }

    /// A failure; a repeat is harmless only where the class is safe.
    pub fn failed(why: Failure, repeat: Repeat) -> Self {
        let (status, detail) = match why {
            Failure::Deadline => (504, "no answer came before the call's deadline; it may have run"),
            Failure::AttemptsExhausted => (500, "no worker answered the call; it may have run"),
            Failure::OwnerUnreachable => (
                502,
                "the gateway that sees to this event can't be reached; it may have run there, send it again",
            ),
            Failure::MayHaveRun => (500, "this event was sent before and may have run; it is not run again"),
        };
        // Whoever sees to an event tells its repeats apart.
        let retryable = repeat == Repeat::Safe || why == Failure::OwnerUnreachable;
        Self { status, outcome: "failed", retryable, retry_after: None, detail: detail.into() }
    }

    /// The problem as JSON.
    pub fn body(&self) -> Vec<u8> {
        let value = json!({
            "type": "about:blank",
            "title": basaltward_http::reason(self.status),
            "status": self.status,
            "outcome": self.outcome,
            "retryable": self.retryable,
            "detail": self.detail,
        });
        value.to_string().into_bytes()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_may_be_sent_again_follows_from_outcome_and_class() {
        let told = Problem::refused(Refusal::Overload, Some(1_200_000));
        assert_eq!((told.status, told.retryable, told.retry_after), (503, true, Some(2)));
        let keyed = Repeat::Keyed { group: basaltward::Group::All, window: 1 };
        for (repeat, retryable) in [(Repeat::Safe, true), (keyed, false), (Repeat::Unsafe, false)] {
            let told = Problem::failed(Failure::Deadline, repeat);
            assert_eq!((told.status, told.retryable), (504, retryable));
        }
        let body = String::from_utf8(Problem::rejected(400, "a \"b\"").body()).expect("text");
        assert!(body.contains(r#""outcome":"rejected""#) && body.contains(r#""detail":"a \"b\"""#), "{body}");
    }
}
