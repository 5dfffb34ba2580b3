//! Error responses: `application/problem+json` (RFC 9457) with the members `outcome` and `retryable`.

use basaltward::{Micros, Repeat};
use basaltward_engine::{Failure, Refusal};
use serde_json::json;

/// The problem that a client gets instead of a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// `rejected`, `refused` or `failed`.
    pub outcome: &'static str,
    /// Whether the client may safely send the same event again.
    pub retryable: bool,
    /// Seconds for `Retry-After`.
    pub retry_after: Option<u64>,
    /// Describes the problem and how the client can react.
    pub detail: String,
}

impl Problem {
    /// An invalid request; it had no effect.
    pub fn rejected(status: u16, detail: impl Into<String>) -> Self {
        Self { status, outcome: "rejected", retryable: false, retry_after: None, detail: detail.into() }
    }

    /// A refusal, with the delay after which the client may retry.
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

    /// A failure. It is retryable only for safe classes, or if the owner of the event could not be reached.
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
        // The owner of an event recognises repeats of it.
        let retryable = repeat == Repeat::Safe || why == Failure::OwnerUnreachable;
        Self { status, outcome: "failed", retryable, retry_after: None, detail: detail.into() }
    }

    /// The problem as JSON.
    pub fn body(&self) -> Vec<u8> {
        let value = json!({
            "type": "about:blank",
            "title": basaltward_http::reason_phrase(self.status),
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
    fn retryable_follows_from_the_outcome_and_the_class() {
        let problem = Problem::refused(Refusal::Overload, Some(1_200_000));
        assert_eq!((problem.status, problem.retryable, problem.retry_after), (503, true, Some(2)));
        let keyed = Repeat::Keyed { group: basaltward::Group::All, window: 1 };
        for (repeat, retryable) in [(Repeat::Safe, true), (keyed, false), (Repeat::Unsafe, false)] {
            let problem = Problem::failed(Failure::Deadline, repeat);
            assert_eq!((problem.status, problem.retryable), (504, retryable));
        }
        let body = String::from_utf8(Problem::rejected(400, "a \"b\"").body()).expect("text");
        assert!(body.contains(r#""outcome":"rejected""#) && body.contains(r#""detail":"a \"b\"""#), "{body}");
    }
}
