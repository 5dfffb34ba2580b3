//! Handling of frames that are outdated, damaged or false, and the choices of a single router.
use basaltward_membership::{MemberId, Micros, SiteMap};
use basaltward_site_routing::{
    Destination, Fault, FunctionCounts, FunctionSpec, Handover, HandoverOutcome, LoopCounts, RemoteRoute,
    Router, RoutingController, RoutingError, RoutingSettings, RoutingTable, Row,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const S: Micros = 1_000_000;
/// Interval of reports.
const INTERVAL: Micros = 250_000;

/// Gateway 0 at site 0 and gateway 1 at site 1.
fn site_map(own: MemberId) -> SiteMap {
    SiteMap::new(vec![0, 1], own).expect("gateway in the list")
}

fn controller(own: MemberId) -> RoutingController {
    let spec = FunctionSpec {
        memory_mb: 512,
        lanes: 2,
        load_time: Some(800_000),
        aim: 400_000,
        deadline: 3_000_000,
    };
    let settings = RoutingSettings::new(site_map(own), vec![spec; 4], 8_192, 1);
    let mut controller = RoutingController::new(settings, 10 * S).expect("valid settings");
    controller.set_live(&[true, true]);
    controller
}

/// Counts of calls of function 0, all served by loaded copies.
fn served(calls: u32) -> LoopCounts {
    let total_time = u64::from(calls) * 40_000;
    let functions = vec![FunctionCounts {
        function: 0,
        calls,
        served: calls,
        total_time,
        warm_starts: calls,
        in_flight: 0,
    }];
    LoopCounts { span: INTERVAL, functions, in_flight: 0, workers: 3 }
}

/// Exchanges reports between two sites, of which B has a copy of function 0. Returns the last frame of B and the time.
fn exchange_reports(a: &mut RoutingController, b: &mut RoutingController) -> (Vec<u8>, Micros) {
    let (mut now, mut last) = (10 * S, Vec::new());
    for _ in 0..8 {
        b.record_counts(now, 0, &served(5));
        a.record_rtt(now, 1, 20_000);
        for (to, bytes) in a.build_frames(now) {
            assert_eq!(to, 1);
            b.receive_frame(now + 10_000, 0, &bytes).expect("a valid frame");
        }
        for (_, bytes) in b.build_frames(now + 20_000) {
            a.receive_frame(now + 30_000, 1, &bytes).expect("a valid frame");
            last = bytes;
        }
        now += INTERVAL;
    }
    (last, now)
}

/// Whether A hands calls of function 0 to the other site.
fn hands_over(a: &mut RoutingController, now: Micros) -> bool {
    a.record_rtt(now, 1, 20_000);
    a.build_frames(now);
    a.build_table(now).rows[0].remote_routes.iter().any(|route| route.share > 0)
}

#[test]
fn calls_go_to_a_loaded_copy_at_another_site() {
    let (mut a, mut b) = (controller(0), controller(1));
    let (_, now) = exchange_reports(&mut a, &mut b);
    assert!(hands_over(&mut a, now));
    assert!(!hands_over(&mut b, now), "B has the copy itself");
}

/// Delivers a frame that was delayed by five seconds over a link that is fast again. Returns whether calls are handed over
/// by it.
fn hands_over_by_delayed_frame(fault: Option<Fault>) -> bool {
    let (mut a, mut b) = (controller(0), controller(1));
    fault.into_iter().for_each(|fault| a.inject_fault(fault));
    let (_, mut now) = exchange_reports(&mut a, &mut b);
    b.record_counts(now, 0, &served(5));
    let (_, delayed) = b.build_frames(now).pop().expect("a report for the other site");
    for _ in 0..20 {
        a.build_frames(now);
        now += INTERVAL;
    }
    assert!(!hands_over(&mut a, now), "no frame was received for five seconds");
    a.receive_frame(now, 1, &delayed).expect("a valid frame");
    hands_over(&mut a, now)
}

#[test]
fn a_report_five_seconds_old_is_ignored_although_it_has_just_arrived() {
    assert!(!hands_over_by_delayed_frame(None));
    assert!(hands_over_by_delayed_frame(Some(Fault::IgnoreFrameAge)), "the injected fault must be detected");
}

#[test]
fn calls_by_an_expired_table_and_handed_over_calls_are_served_locally() {
    let route = RemoteRoute { site: 1, peer: 1, expected_latency: 50_000, share: 65_535, call_limit: 100 };
    let row = Row {
        home: 1,
        local_latency: 900_000,
        warm_at_home: true,
        remote_routes: [route, RemoteRoute::default()],
    };
    let table = RoutingTable { number: 1, valid_until: 5 * S, local_site: 0, rows: vec![row] };
    let mut router = Router::new(site_map(0), 1);
    let mut choose = |now, handed_over| router.choose(now, Some(&table), 0, 3 * S, handed_over);
    assert_eq!(choose(S, false), Destination::Remote { site: 1, peer: 1 });
    assert_eq!((choose(S, true), choose(5 * S, false)), (Destination::Local, Destination::Local));
    assert_eq!(
        router.choose(S, Some(&table), 7, 3 * S, false),
        Destination::Local,
        "a function without a row"
    );
    // Uses up the limit of this table. After a lost call, the site is paused.
    let sent =
        (0..200).filter(|_| router.choose(S, Some(&table), 0, 3 * S, false) != Destination::Local).count();
    assert_eq!(sent, 99);
    let lost = Handover { function: 0, to: 1, duration: S, outcome: HandoverOutcome::Lost };
    (0..100).for_each(|_| router.handover_ended(2 * S, &lost));
    let next = RoutingTable { number: 2, ..table };
    assert_eq!(router.choose(2 * S, Some(&next), 0, 3 * S, false), Destination::Local);
    let probe = |router: &mut Router| router.choose(2 * S + 150_000, Some(&next), 0, 3 * S, false);
    assert_ne!(probe(&mut router), Destination::Local, "one call probes the site");
    assert_eq!(probe(&mut router), Destination::Local, "only one call probes the site");
}

#[test]
fn damaged_and_foreign_frames_are_rejected_without_effect() {
    let (mut a, mut b) = (controller(0), controller(1));
    let (report, now) = exchange_reports(&mut a, &mut b);
    assert_eq!(a.receive_frame(now, 9, &report), Err(RoutingError::UnknownGateway(9)));
    assert_eq!(a.receive_frame(now, 0, &report), Err(RoutingError::WrongSite(0)));
    assert_eq!(a.receive_frame(now, 1, &[0; 70_000]), Err(RoutingError::TooLong { from: 1, bytes: 70_000 }));
    for cut in 0..report.len() {
        assert_eq!(a.receive_frame(now, 1, &report[..cut]), Err(RoutingError::Unreadable(1)), "cut at {cut}");
    }
    assert!(hands_over(&mut a, now));
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut changed = report.clone();
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..changed.len());
            changed[at] = rng.random();
        }
        // Whatever the frame contains, a table can be built and its routes lead to live gateways only.
        let _ = a.receive_frame(now, 1, &changed);
    }
    a.build_frames(now);
    let routes = a.build_table(now).rows.into_iter().flat_map(|row| row.remote_routes);
    assert!(routes.filter(|route| route.call_limit > 0).all(|route| route.site == 1 && route.peer == 1));
}

#[test]
fn invalid_settings_are_rejected() {
    let spec = FunctionSpec { memory_mb: 1, lanes: 1, load_time: None, aim: 2, deadline: 1 };
    let settings = RoutingSettings::new(site_map(0), vec![spec], 1, 1);
    assert!(matches!(RoutingController::new(settings.clone(), 0), Err(RoutingError::InvalidFunction(0))));
    let settings = RoutingSettings { functions: Vec::new(), valid_for: 1, ..settings };
    assert!(matches!(RoutingController::new(settings, 0), Err(RoutingError::InvalidSettings)));
}
