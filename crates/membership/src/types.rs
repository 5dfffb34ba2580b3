//! Types shared by all modules: members, their states and incarnations, and the rule by which updates override each
//! other.

use serde::{Deserialize, Serialize};

/// Microseconds on the caller's clock.
pub type Micros = u64;

/// A member's number in the configured list.
pub type MemberId = u16;

/// Identifies one life of a member, from the start of its process to the end, and counts its refutations. Incarnations
/// are ordered: `start` is a wall-clock time, so a restarted member has a greater one without any persisted state. A
/// member whose wall clock was set back learns of its earlier life from others and continues with a start as late as
/// that one's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Milliseconds since the beginning of 2026, by the member's wall clock.
    pub start: u64,
    /// Number of refutations since the start.
    pub bump: u32,
}

/// The state of a member in a view. Within one incarnation, a later state in this order overrides an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// No update or message received yet.
    #[default]
    Unknown,
    /// It responds to probes.
    Up,
    /// It did not respond to the probes of some member.
    Suspect,
    /// It announced that it is leaving, and finishes the work that it has.
    Leaving,
    /// Its suspicion timed out: it is dead or unreachable.
    Gone,
    /// It announced that it has stopped.
    Stopped,
}

impl MemberState {
    /// Whether the member takes part in the protocol: up, leaving, or suspected but not yet declared gone.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Up | Self::Suspect | Self::Leaving)
    }
}

/// The entry of a member in a view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// Its state.
    pub state: MemberState,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// When it entered this state, on the clock of the view's owner.
    pub state_since: Micros,
    /// When a datagram was last received from it, on the same clock; 0 if none ever was.
    pub last_contact: Micros,
}

impl Member {
    /// Whether an update with this incarnation and state overrides this entry.
    pub fn is_overridden_by(&self, incarnation: Incarnation, state: MemberState) -> bool {
        (incarnation, state) > (self.incarnation, self.state)
    }

    /// The member's part of a digest: its number, its state and the start of its life; 0 if it is unknown. Suspicions
    /// and refutations are left out, since at 30% packet loss there are many per second. If a suspicion leads to a
    /// different state at only some members, their digests differ by that state.
    pub(crate) fn fingerprint(&self, id: MemberId) -> u32 {
        if self.state == MemberState::Unknown {
            return 0;
        }
        let state = if self.state == MemberState::Suspect { MemberState::Up } else { self.state };
        let parts = [u64::from(id) << 8 | state as u64, self.incarnation.start];
        let mix = |hash: u64, part: u64| {
            let hash = (hash ^ part).wrapping_mul(0xff51_afd7_ed55_8ccd);
            hash ^ hash >> 32
        };
        parts.into_iter().fold(0x9e37_79b9, mix) as u32
    }
}

impl Incarnation {
    /// The incarnation with which a member in `state` refutes an update about itself; `None` if the update does not
    /// override what the member itself announces, or the member has stopped.
    pub fn refutation(self, state: MemberState, update: (Incarnation, MemberState)) -> Option<Self> {
        let overrides = state != MemberState::Stopped && update > (self, state);
        overrides.then(|| Self { start: update.0.start, bump: update.0.bump.saturating_add(1) })
    }
}
