//! Settings of a permit node, with their default values and checks. Times are in microseconds.

use crate::bounds::Bounds;
use crate::register::Times;
use basaltward_membership::{MemberId, Micros};
use thiserror::Error;

/// The largest number of voters.
pub const MAX_VOTERS: usize = 7;

/// Settings of a member. All members of a fleet need the same, except for `own`, `seed` and `incarnation`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitSettings {
    /// The fleet's number, as in the membership protocol.
    pub fleet: u16,
    /// This member's number in the configured list.
    pub own: MemberId,
    /// The numbers of the members that vote.
    pub voters: Vec<MemberId>,
    /// Different after each restart.
    pub incarnation: u32,
    /// Seeds the random choices.
    pub seed: u64,
    /// The times on which safety depends.
    pub times: Times,
    /// The interval of the heartbeats that the leader sends to the voters.
    pub tick: Micros,
    /// How long it takes until the membership shows a change of a member's state everywhere: its settling time.
    pub settle: Micros,
    /// How long a subject that was out has to be in use before its permit may end.
    pub min_in_use: Micros,
    /// A scheduler's permit that is in force for longer than this during a release halts the fleet.
    pub step_timeout: Micros,
    /// How many subjects may be out of service.
    pub bounds: Bounds,
}

/// Why settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The number of voters is not odd, exceeds [`MAX_VOTERS`], or a voter is listed twice.
    #[error("{0} voters: there has to be an odd number of them, each once, 7 at most")]
    Voters(usize),
    /// A time is too short.
    #[error("{0} is too short")]
    Short(&'static str),
}

/// The default voters of a fleet of this size: five, three or one, or none for size 0. They are spread over the list,
/// as neighbours in the list often run in the same zone or on the same machine.
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
    /// The defaults: a lease of 2 s with at least four heartbeats in it, for clocks that run up to 10 % fast or slow.
    pub fn new(size: MemberId, own: MemberId, incarnation: u32, seed: u64) -> Self {
        let settle = basaltward_membership::MembershipSettings::new(size.max(1), 0, 0, 0).settling_time();
        Self {
            fleet: 0,
            own,
            voters: default_voters(size),
            incarnation,
            seed,
            times: Times { lease: 2_000_000, silence: 2_500_000, learning: 2_500_000 + settle },
            tick: 400_000,
            settle,
            min_in_use: 5_000_000,
            step_timeout: 180_000_000,
            bounds: Bounds::default(),
        }
    }

    /// Checks the settings.
    ///
    /// # Errors
    /// If the voters are invalid or a time is too short for the others.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut unique = self.voters.clone();
        unique.sort_unstable();
        unique.dedup();
        if unique.len() != self.voters.len() || unique.len().is_multiple_of(2) || unique.len() > MAX_VOTERS {
            return Err(SettingsError::Voters(self.voters.len()));
        }
        let Times { lease, silence, learning } = self.times;
        // A clock that runs 10 % fast against one that runs 10 % slow: 1.1 / 0.9 < 1.25.
        let checks = [
            ("silence", silence >= lease + lease / 4),
            ("learning", learning >= silence + self.settle),
            ("lease", lease >= self.tick * 4),
            ("tick", self.tick > 0),
        ];
        match checks.iter().find(|(_, valid)| !valid) {
            Some((name, _)) => Err(SettingsError::Short(name)),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
