//! Tests of [`super`], which need its inside.

use super::*;

#[test]
fn members_stand_where_the_list_says() {
    let places = SiteMap::new(vec![0, 1, 0, 2], 3).expect("in the list");
    assert_eq!((places.own(), places.own_site(), places.len()), (3, 2, 4));
    assert_eq!((places.site_of(1), places.site_of(4)), (Some(1), None));
    assert_eq!(places.members_at(0).collect::<Vec<_>>(), [0, 2]);
    assert_eq!(places.sites(), [0, 1, 2]);
    assert_eq!(SiteMap::new(vec![0], 1), None);
}
