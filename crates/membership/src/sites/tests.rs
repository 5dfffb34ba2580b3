//! Unit tests of [`super`] that use private items.

use super::*;

#[test]
fn members_map_to_their_configured_sites() {
    let site_map = SiteMap::new(vec![0, 1, 0, 2], 3).expect("in the list");
    assert_eq!((site_map.own(), site_map.own_site(), site_map.len()), (3, 2, 4));
    assert_eq!((site_map.site_of(1), site_map.site_of(4)), (Some(1), None));
    assert_eq!(site_map.members_at(0).collect::<Vec<_>>(), [0, 2]);
    assert_eq!(site_map.sites(), [0, 1, 2]);
    assert_eq!(SiteMap::new(vec![0], 1), None);
}
