//! Tests of the private parts of [`super`].

use super::*;

#[test]
fn default_voters_are_an_odd_number_of_members() {
    for size in 1..400 {
        let voters = default_voters(size);
        assert!(voters.len() % 2 == 1 && voters.iter().all(|voter| *voter < size), "{size}: {voters:?}");
        assert_eq!(PermitSettings::new(size, 0, 1, 1).check(), Ok(()), "{size}");
    }
    assert_eq!(default_voters(300), [0, 60, 120, 180, 240]);
    let valid = PermitSettings::new(9, 0, 1, 1);
    let duplicate = PermitSettings { voters: vec![1, 1, 2], ..valid.clone() };
    assert_eq!(duplicate.check(), Err(SettingsError::Voters(3)));
    let short = Times { silence: 2_400_000, ..valid.times };
    assert_eq!(PermitSettings { times: short, ..valid }.check(), Err(SettingsError::Short("silence")));
}
