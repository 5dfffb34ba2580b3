//! The mapping of members to sites. It comes from the configuration, is the same for all members, and is not gossiped.

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
    /// Creates a map from the site of each member and the local member's number; `None` if that is not in the list.
    pub fn new(of: Vec<Site>, own: MemberId) -> Option<Self> {
        (usize::from(own) < of.len()).then_some(Self { of, own })
    }

    /// The local member's number.
    pub fn own(&self) -> MemberId {
        self.own
    }

    /// The local member's site.
    pub fn own_site(&self) -> Site {
        self.of[usize::from(self.own)]
    }

    /// The site of a member; `None` if it is not in the list.
    pub fn site_of(&self, of: MemberId) -> Option<Site> {
        self.of.get(usize::from(of)).copied()
    }

    /// The members at a site, in ascending order.
    pub fn members_at(&self, at: Site) -> impl Iterator<Item = MemberId> {
        let all = self.of.iter().enumerate();
        all.filter(move |(_, site)| **site == at).map(|(number, _)| number as MemberId)
    }

    /// Number of members at all sites.
    pub fn len(&self) -> usize {
        self.of.len()
    }

    /// Whether there are no members; always false, as [`SiteMap::new`] requires the local member.
    pub fn is_empty(&self) -> bool {
        self.of.is_empty()
    }

    /// All sites that have members, in ascending order.
    pub fn sites(&self) -> Vec<Site> {
        let mut sites = self.of.clone();
        sites.sort_unstable();
        sites.dedup();
        sites
    }
}

#[cfg(test)]
mod tests;
