//! Unit tests of [`super`] that use private items.

use super::*;

const S: Micros = 1_000_000;

fn fact(owner: MemberId, version: (u64, u32)) -> Fact {
    Fact { owner, key: 1, version, ttl_ms: 5_000, value: encode_counters(&[2, 300]) }
}

#[test]
fn newer_facts_are_stored_until_they_expire_and_out_of_bounds_facts_are_rejected() {
    let mut fact_store = FactStore::default();
    assert!(fact_store.merge(S, &fact(3, (7, 2)), 2));
    let old_life = Fact { version: (6, 9), ..fact(3, (0, 0)) };
    for rejected in [
        fact(3, (7, 2)),
        fact(3, (7, 1)),
        old_life,
        Fact { key: FACT_KEYS, ..fact(4, (9, 9)) },
        Fact { value: vec![0; MAX_FACT_BYTES + 1], ..fact(4, (9, 9)) },
        Fact { ttl_ms: u32::MAX, ..fact(4, (9, 9)) },
        Fact { ttl_ms: 0, ..fact(4, (9, 9)) },
    ] {
        assert!(!fact_store.merge(S, &rejected, 2), "{rejected:?}");
    }
    assert!(fact_store.merge(S, &fact(4, (1, 1)), 2));
    assert_eq!(
        (fact_store.counter_totals(S, 1), fact_store.counter_totals(S, 2)),
        (vec![4, 600], Vec::new())
    );
    assert!(fact_store.get(5 * S, 3, 1).is_some() && fact_store.get(6 * S, 3, 1).is_none());
    fact_store.expire(6 * S);
    assert_eq!((fact_store.len(), fact_store.is_pending()), (0, false));
}

#[test]
fn each_fact_is_transmitted_up_to_its_limit_and_within_the_capacity() {
    let mut fact_store = FactStore::default();
    (0..3).for_each(|owner| assert!(fact_store.merge(S, &fact(owner, (1, 1)), 2)));
    let owners = |facts: Vec<Fact>| facts.iter().map(|f| f.owner).collect::<Vec<_>>();
    assert_eq!(owners(fact_store.take_for_datagram(S, 24)), [2, 1]);
    assert_eq!(owners(fact_store.take_for_datagram(S, 24)), [0, 2]);
    assert_eq!(owners(fact_store.take_for_datagram(S, 1_000)), [1, 0]);
    assert!(fact_store.take_for_datagram(S, 1_000).is_empty() && !fact_store.is_pending());
    assert_eq!(decode_counters(&encode_counters(&[u64::MAX; 9])).map(|c| c.len()), Some(3));
}
