//! Types that all modules share: members by number, their states and incarnations, and what says more of a member.

use serde::{Deserialize, Serialize};

/// Microseconds on the caller's clock.
pub type Micros = u64;

/// A member's number in the configured list.
pub type MemberId = u16;

/// One life of a member, and how often it has refuted since. Ordered: whoever starts again has a later one,
/// though nothing survives a restart, as `start` is a wall time; one whose wall clock ran back learns of its
/// earlier life from others and takes a later start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Milliseconds since the beginning of 2026, by its own wall clock.
    pub start: u64,
    /// Refutations since.
    pub bump: u32,
}

/// What is believed of a member. At one incarnation a later one in this order goes before an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Nothing was heard of it yet.
    #[default]
    Unknown,
    /// It answers.
    Up,
    /// It has not answered somebody.
    Suspect,
    /// It has said that it leaves; it finishes what it has.
    Leaving,
    /// It has not answered for so long that it is taken for dead, or is out of reach.
    Gone,
    /// It has said that it is no more.
    Stopped,
}

impl MemberState {
    /// Whether it takes part: it answers, or did so just now.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Up | Self::Suspect | Self::Leaving)
    }
}

/// What is believed of a member, and how old that is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// What it is.
    pub state: MemberState,
    /// Of which life.
    pub incarnation: Incarnation,
    /// Since when, on the owner's clock.
    pub state_since: Micros,
    /// When it was last heard itself; 0 for never.
    pub last_contact: Micros,
}

impl Member {
    /// Whether updates says more than this.
    pub fn is_overridden_by(&self, incarnation: Incarnation, state: MemberState) -> bool {
        (incarnation, state) > (self.incarnation, self.state)
    }

    /// What a digest covers of a member: who is what, in which life. Suspicions and their refutations come and go,
    /// with 30% lost many times a second, and are left out: where one of them leads to something else for some and
    /// not for others, that differs and is found. Nothing is known of it: 0.
    pub(crate) fn fingerprint(&self, of: MemberId) -> u32 {
        if self.state == MemberState::Unknown {
            return 0;
        }
        let state = if self.state == MemberState::Suspect { MemberState::Up } else { self.state };
        let parts = [u64::from(of) << 8 | state as u64, self.incarnation.start];
        let mix = |hash: u64, part: u64| {
            let hash = (hash ^ part).wrapping_mul(0xff51_afd7_ed55_8ccd);
            hash ^ hash >> 32
        };
        parts.into_iter().fold(0x9e37_79b9, mix) as u32
    }
}

impl Incarnation {
    /// The incarnation by which a member that is `state` answers what it hears of itself; none where that says
    /// no more than it says itself.
    pub fn refutation(self, state: MemberState, told: (Incarnation, MemberState)) -> Option<Self> {
        let beyond = state != MemberState::Stopped && told > (self, state);
        beyond.then(|| Self { start: told.0.start, bump: told.0.bump.saturating_add(1) })
    }
}
