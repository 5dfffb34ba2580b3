//! An event is held by a gateway of another site before its first byte may leave.
use basaltward_fleet::Places;
use basaltward_pending::{Accepted, Again, Input, Key, Output, Pending, PendingSettings, Step};

fn accepted(key: u128) -> Accepted {
    Accepted {
        key: Key(key),
        class: 0,
        tenant: 0,
        function: "f".into(),
        again: Again::Unsafe,
        owed: false,
        deadline: 10_000,
        event: vec![1; 100],
    }
}

/// Carries frames between two until none is left; what each has told beside.
fn settle(both: &mut [Pending; 2], now: u64) -> Vec<Output> {
    let (mut told, mut out) = (Vec::new(), Vec::new());
    both[0].wake(now, 0, &mut out);
    let mut from = 0;
    while !out.is_empty() {
        let mut back = Vec::new();
        for output in out {
            match output {
                Output::Send { to, bytes } => {
                    both[usize::from(to)].handle(now, 0, Input::Frame { from, bytes }, &mut back);
                }
                other => told.push(other),
            }
        }
        from = 1 - from;
        out = back;
    }
    told
}

#[test]
fn an_event_is_held_and_may_be_sent() {
    let of = |own| {
        let places = Places::new(vec![0, 1], own).expect("in the list");
        Pending::new(PendingSettings::new(places, u64::from(own) + 7, vec![1], 1), 0)
    };
    let mut both = [of(0), of(1)];
    let mut out = Vec::new();
    both[0].handle(0, 0, Input::Step(Step::Accepted(accepted(1))), &mut out);
    assert!(matches!(out[..], [Output::Unheld { .. }]), "{out:?}");
    out.clear();
    both[0].handle(0, 0, Input::Live(vec![true; 2]), &mut out);
    both[0].handle(0, 0, Input::LinkUp { of: 1, life: 8 }, &mut out);
    both[0].handle(0, 0, Input::Step(Step::Accepted(accepted(1))), &mut out);
    assert_eq!(settle(&mut both, 0), [Output::Held { key: Key(1) }]);
    let sending = Step::Sending { key: Key(1), attempt: 0, worker: "w".into(), at: 0 };
    both[0].handle(5, 0, Input::Step(sending), &mut out);
    assert!(matches!(settle(&mut both, 5)[..], [Output::May { key: Key(1), attempt: 0, until: 2_400_005 }]));
    let held = both[1].held(both[0].source()).expect("held");
    assert_eq!((held.from, held.through, held.entries.len()), (1, 2, 2));
}
