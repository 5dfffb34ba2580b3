//! Decides which missing mechanism has to be built first, from the ratios of need to budget alone.

use super::plan::Role;
use super::roles::{Missing, Section};

/// Ratios within this factor of the largest are near ties. Measurements on one busy machine are no more accurate than
/// that.
pub const NEAR_TIE_FACTOR: f64 = 2.0;

/// A role with its largest ratio.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ranked {
    /// The role.
    pub role: Role,
    /// Need divided by budget.
    pub ratio: f64,
    /// The mechanism that it waits for; `None` where no new mechanism would help.
    pub missing: Option<Missing>,
}

/// The decision that follows from the ratios.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Roles over their budget, the largest ratio first.
    pub ranked: Vec<Ranked>,
    /// How many of the ranked roles are near ties with the largest ratio, counted from the start of `ranked`.
    pub near_ties: usize,
    /// The mechanism to build first.
    pub first: Missing,
    /// True if it was chosen because the mechanism of a larger near tie depends on it; false if the largest ratio
    /// decided.
    pub is_by_dependency: bool,
}

/// Whether mechanism `one` depends on `other`, directly or indirectly.
pub fn depends_on(one: Missing, other: Missing) -> bool {
    one.depends_on().iter().any(|dependency| *dependency == other || depends_on(*dependency, other))
}

/// Decides from the sections of all roles; `None` if no role that waits for a mechanism is over its budget.
pub fn decide(sections: &[Section]) -> Option<Decision> {
    let ranked = |section: &Section| {
        let Section { role, missing, .. } = *section;
        section.ratio().filter(|ratio| *ratio > 1.0).map(|ratio| Ranked { role, ratio, missing })
    };
    let mut ranked: Vec<Ranked> = sections.iter().filter_map(ranked).collect();
    ranked.sort_by(|a, b| b.ratio.total_cmp(&a.ratio));
    decide_ranked(&ranked)
}

/// Decides among roles over their budget, given with the largest ratio first.
pub fn decide_ranked(ranked: &[Ranked]) -> Option<Decision> {
    let (largest, missing) = ranked.iter().find_map(|role| Some((role.ratio, role.missing?)))?;
    let near_ties = ranked.iter().take_while(|role| role.ratio * NEAR_TIE_FACTOR >= largest).count();
    let ties = ranked[..near_ties].iter().filter_map(|role| role.missing);
    // Of near ties that depend on each other, the one that the others depend on.
    let first = ties.fold(missing, |first, other| if depends_on(first, other) { other } else { first });
    Some(Decision { ranked: ranked.to_vec(), near_ties, first, is_by_dependency: first != missing })
}
