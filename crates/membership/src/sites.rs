//! The mapping of members to sites. It comes from the configuration, is the same for all members, and is not gossiped.

use crate::types::MemberId;

/// A site's number in the configured list.
pub type Site = u8;

/// The sites of all members, by number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteMap {
    sites: Vec<Site>,
    own: MemberId,
}

impl SiteMap {
    /// Creates a map from the site of each member and the local member's number; `None` if that is not in the list.
    pub fn new(sites: Vec<Site>, own: MemberId) -> Option<Self> {
        (usize::from(own) < sites.len()).then_some(Self { sites, own })
    }

    /// The local member's number.
    pub fn own(&self) -> MemberId {
        self.own
    }

    /// The local member's site.
    pub fn own_site(&self) -> Site {
        self.sites[usize::from(self.own)]
    }

    /// The site of a member; `None` if it is not in the list.
    pub fn site_of(&self, member: MemberId) -> Option<Site> {
        self.sites.get(usize::from(member)).copied()
    }

    /// The members at a site, in ascending order.
    pub fn members_at(&self, site: Site) -> impl Iterator<Item = MemberId> {
        let all = self.sites.iter().enumerate();
        all.filter(move |(_, member_site)| **member_site == site).map(|(id, _)| id as MemberId)
    }

    /// Number of members at all sites.
    pub fn len(&self) -> usize {
        self.sites.len()
    }

    /// Whether there are no members; always false, as [`SiteMap::new`] requires the local member.
    pub fn is_empty(&self) -> bool {
        self.sites.is_empty()
    }

    /// All sites that have members, in ascending order.
    pub fn sites(&self) -> Vec<Site> {
        let mut sites = self.sites.clone();
        sites.sort_unstable();
        sites.dedup();
        sites
    }
}

#[cfg(test)]
mod tests;
