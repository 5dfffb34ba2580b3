//! What frames can and can't do: old ones, torn ones, ones that lie, and a router on its own.
use basaltward_membership::{MemberId, Micros, SiteMap};
use basaltward_site_routing::{
    Destination, Fault, FunctionCounts, FunctionSpec, Handover, HandoverOutcome, LoopCounts, RemoteRoute,
    Router, RoutingController, RoutingError, RoutingSettings, RoutingTable, Row,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const S: Micros = 1_000_000;
const TELL: Micros = 250_000;

fn places(own: MemberId) -> SiteMap {
    SiteMap::new(vec![0, 1], own).expect("in the list")
}

fn route(own: MemberId) -> RoutingController {
    let told = FunctionSpec {
        memory_mb: 512,
        lanes: 2,
        load_time: Some(800_000),
        aim: 400_000,
        deadline: 3_000_000,
    };
    let settings = RoutingSettings::new(places(own), vec![told; 4], 8_192, 1);
    let mut route = RoutingController::new(settings, 10 * S).expect("settings");
    route.set_live(&[true, true]);
    route
}

/// A second's calls of function 0, served warm.
fn served(calls: u32) -> LoopCounts {
    let took = u64::from(calls) * 40_000;
    let by = vec![FunctionCounts {
        function: 0,
        calls,
        served: calls,
        total_time: took,
        warm_starts: calls,
        in_flight: 0,
    }];
    LoopCounts { span: TELL, functions: by, in_flight: 0, workers: 3 }
}

/// Two sites that tell each other, B with a copy of function 0; the last frame of B and the time.
fn told(a: &mut RoutingController, b: &mut RoutingController) -> (Vec<u8>, Micros) {
    let (mut now, mut last) = (10 * S, Vec::new());
    for _ in 0..8 {
        b.record_counts(now, 0, &served(5));
        a.record_rtt(now, 1, 20_000);
        for (to, bytes) in a.build_frames(now) {
            assert_eq!(to, 1);
            b.receive_frame(now + 10_000, 0, &bytes).expect("a frame of ours");
        }
        for (_, bytes) in b.build_frames(now + 20_000) {
            a.receive_frame(now + 30_000, 1, &bytes).expect("a frame of ours");
            last = bytes;
        }
        now += TELL;
    }
    (last, now)
}

fn goes_there(a: &mut RoutingController, now: Micros) -> bool {
    a.record_rtt(now, 1, 20_000);
    a.build_frames(now);
    a.build_table(now).rows[0].remote_routes.iter().any(|way| way.share > 0)
}

#[test]
fn a_warm_copy_elsewhere_is_followed() {
    let (mut a, mut b) = (route(0), route(1));
    let (_, now) = told(&mut a, &mut b);
    assert!(goes_there(&mut a, now));
    assert!(!goes_there(&mut b, now), "it has the copy itself");
}

/// A frame that lay five seconds on its way, and with a way that is quick again.
fn five_seconds_late(fault: Option<Fault>) -> bool {
    let (mut a, mut b) = (route(0), route(1));
    fault.into_iter().for_each(|fault| a.inject_fault(fault));
    let (_, mut now) = told(&mut a, &mut b);
    b.record_counts(now, 0, &served(5));
    let (_, late) = b.build_frames(now).pop().expect("a word for the other site");
    for _ in 0..20 {
        a.build_frames(now);
        now += TELL;
    }
    assert!(!goes_there(&mut a, now), "nothing was heard for five seconds");
    a.receive_frame(now, 1, &late).expect("a frame of ours");
    goes_there(&mut a, now)
}

#[test]
fn a_table_five_seconds_old_is_not_gone_by_though_it_has_just_come() {
    assert!(!five_seconds_late(None));
    assert!(five_seconds_late(Some(Fault::IgnoreFrameAge)), "the planted fault has to show");
}

#[test]
fn a_table_past_its_time_and_a_call_that_came_handed_over_are_answered_here() {
    let way = RemoteRoute { site: 1, peer: 1, expected_latency: 50_000, share: 65_535, call_limit: 100 };
    let row = Row {
        home: 1,
        local_latency: 900_000,
        warm_at_home: true,
        remote_routes: [way, RemoteRoute::default()],
    };
    let table = RoutingTable { number: 1, valid_until: 5 * S, local_site: 0, rows: vec![row] };
    let mut router = Router::new(places(0), 1);
    let mut choose = |now, handed| router.choose(now, Some(&table), 0, 3 * S, handed);
    assert_eq!(choose(S, false), Destination::Remote { site: 1, peer: 1 });
    assert_eq!((choose(S, true), choose(5 * S, false)), (Destination::Local, Destination::Local));
    assert_eq!(
        router.choose(S, Some(&table), 7, 3 * S, false),
        Destination::Local,
        "a function that no row speaks of"
    );
    // All that it may send by this table, and then one that is lost: nothing more goes there for a while.
    let sent =
        (0..200).filter(|_| router.choose(S, Some(&table), 0, 3 * S, false) != Destination::Local).count();
    assert_eq!(sent, 99);
    let lost = Handover { function: 0, to: 1, duration: S, outcome: HandoverOutcome::Lost };
    (0..100).for_each(|_| router.handover_ended(2 * S, &lost));
    let next = RoutingTable { number: 2, ..table };
    assert_eq!(router.choose(2 * S, Some(&next), 0, 3 * S, false), Destination::Local);
    let probe = |router: &mut Router| router.choose(2 * S + 150_000, Some(&next), 0, 3 * S, false);
    assert_ne!(probe(&mut router), Destination::Local, "one finds out");
    assert_eq!(probe(&mut router), Destination::Local, "and one alone");
}

#[test]
fn torn_and_foreign_frames_are_errors_that_change_nothing() {
    let (mut a, mut b) = (route(0), route(1));
    let (word, now) = told(&mut a, &mut b);
    assert_eq!(a.receive_frame(now, 9, &word), Err(RoutingError::UnknownGateway(9)));
    assert_eq!(a.receive_frame(now, 0, &word), Err(RoutingError::WrongSite(0)));
    assert_eq!(a.receive_frame(now, 1, &[0; 70_000]), Err(RoutingError::TooLong { from: 1, bytes: 70_000 }));
    for cut in 0..word.len() {
        assert_eq!(a.receive_frame(now, 1, &word[..cut]), Err(RoutingError::Unreadable(1)), "cut at {cut}");
    }
    assert!(goes_there(&mut a, now));
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut changed = word.clone();
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..changed.len());
            changed[at] = rng.random();
        }
        // Whatever it says, the figures stay whole: a table can be worked out and its ways lead to who lives.
        let _ = a.receive_frame(now, 1, &changed);
    }
    a.build_frames(now);
    let ways = a.build_table(now).rows.into_iter().flat_map(|row| row.remote_routes);
    assert!(ways.filter(|way| way.call_limit > 0).all(|way| way.site == 1 && way.peer == 1));
}

#[test]
fn settings_that_do_not_go_together_are_refused() {
    let told = FunctionSpec { memory_mb: 1, lanes: 1, load_time: None, aim: 2, deadline: 1 };
    let settings = RoutingSettings::new(places(0), vec![told], 1, 1);
    assert!(matches!(RoutingController::new(settings.clone(), 0), Err(RoutingError::InvalidFunction(0))));
    let settings = RoutingSettings { functions: Vec::new(), valid_for: 1, ..settings };
    assert!(matches!(RoutingController::new(settings, 0), Err(RoutingError::InvalidSettings)));
}
