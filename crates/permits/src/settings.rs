//! Figures of a permits node, with their usual values and checks. Times are microseconds.

use crate::bounds::Bounds;
use crate::register::Times;
use basaltward_membership::{MemberId, Micros};
use thiserror::Error;

/// Voters at most.
pub const MAX_VOTERS: usize = 7;

/// Figures of a member. All of a fleet need the same, but for `own`, `seed` and `life`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitSettings {
    /// Names the fleet, as in its view.
    pub fleet: u16,
    /// Our number in the configured list.
    pub own: MemberId,
    /// Members that vote, by number.
    pub voters: Vec<MemberId>,
    /// Another one with each life.
    pub incarnation: u32,
    /// For choices.
    pub seed: u64,
    /// See [`Times`].
    pub times: Times,
    /// The leader asks its voters for an answer so often.
    pub tick: Micros,
    /// By then a view shows what has become of a member: the view's settling time.
    pub settle: Micros,
    /// One that was out has to be in use for so long, to count as back.
    pub min_in_use: Micros,
    /// A scheduler whose permit stands for longer than this while a release goes on halts all.
    pub step_timeout: Micros,
    /// How many may be out.
    pub bounds: Bounds,
}

/// Why settings can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// There is an odd number of voters, up to [`MAX_VOTERS`], each once.
    #[error("{0} voters: there has to be an odd number of them, each once, 7 at most")]
    Voters(usize),
    /// A time is too short.
    #[error("{0} is too short")]
    Short(&'static str),
}

/// The voters of a fleet of so many: five, or as many as there are, an odd number, far apart in the list, as
/// neighbours in a list often stand in one zone and on one machine.
pub fn default_voters(size: MemberId) -> Vec<MemberId> {
    let count: MemberId = match size {
        0 => 0,
        1 | 2 => 1,
        3 | 4 => 3,
        _ => 5,
    };
    (0..count)
        .map(|voter| (u32::from(voter) * u32::from(size) / u32::from(count.max(1))) as MemberId)
        .collect()
}

impl PermitSettings {
    /// The usual figures: a lease of 2 s, told four times in it, and clocks that differ by a tenth of their rate.
    pub fn new(size: MemberId, own: MemberId, life: u32, seed: u64) -> Self {
        let settle = basaltward_membership::MembershipSettings::new(size.max(1), 0, 0, 0).settling();
        Self {
            fleet: 0,
            own,
            voters: default_voters(size),
            incarnation: life,
            seed,
            times: Times { lease: 2_000_000, silence: 2_500_000, learning: 2_500_000 + settle },
            tick: 400_000,
            settle,
            min_in_use: 5_000_000,
            step_timeout: 180_000_000,
            bounds: Bounds::default(),
        }
    }

    /// Checks them.
    ///
    /// # Errors
    /// Where they can't be used.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut each = self.voters.clone();
        each.sort_unstable();
        each.dedup();
        if each.len() != self.voters.len() || each.len().is_multiple_of(2) || each.len() > MAX_VOTERS {
            return Err(SettingsError::Voters(self.voters.len()));
        }
        let Times { lease, silence, learning } = self.times;
        // A clock that runs a tenth fast against one that runs a tenth slow: 1.1 / 0.9 < 1.25.
        let figures = [
            ("silence", silence >= lease + lease / 4),
            ("learning", learning >= silence + self.settle),
            ("lease", lease >= self.tick * 4),
            ("tick", self.tick > 0),
        ];
        match figures.iter().find(|(_, good)| !good) {
            Some((name, _)) => Err(SettingsError::Short(name)),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
