//! Which member stands at which site. Told by the settings of all alike; nothing of it is learnt.

use crate::types::MemberId;

/// A site's number in the configured list.
pub type Site = u8;

/// The sites of all members, by number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteMap {
    of: Vec<Site>,
    own: MemberId,
}

impl SiteMap {
    /// The site of each member, and our number among them; none where that is not in the list.
    pub fn new(of: Vec<Site>, own: MemberId) -> Option<Self> {
        (usize::from(own) < of.len()).then_some(Self { of, own })
    }

    /// Our number.
    pub fn own(&self) -> MemberId {
        self.own
    }

    /// Our site.
    pub fn own_site(&self) -> Site {
        self.of[usize::from(self.own)]
    }

    /// The site of a member; none where it is not in the list.
    pub fn site_of(&self, of: MemberId) -> Option<Site> {
        self.of.get(usize::from(of)).copied()
    }

    /// The members at a site.
    pub fn members_at(&self, at: Site) -> impl Iterator<Item = MemberId> {
        let all = self.of.iter().enumerate();
        all.filter(move |(_, site)| **site == at).map(|(number, _)| number as MemberId)
    }

    /// Members of all sites.
    pub fn len(&self) -> usize {
        self.of.len()
    }

    /// Whether there are none, which [`SiteMap::new`] rules out.
    pub fn is_empty(&self) -> bool {
        self.of.is_empty()
    }

    /// All sites that have members, in order.
    pub fn sites(&self) -> Vec<Site> {
        let mut sites = self.of.clone();
        sites.sort_unstable();
        sites.dedup();
        sites
    }
}

#[cfg(test)]
mod tests;
