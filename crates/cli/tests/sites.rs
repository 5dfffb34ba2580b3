//! Sites of gateways and workers as processes, with faults between them; and injected faults that the checker must
//! detect.
use basaltward_faulttest::{
    FleetViolation, LoadSpec, ProcessSelector, SiteAction, SiteCluster, SiteLink, SiteSpec, SiteStep,
    SitesScript, SitesSpec, check_sites, run_sites,
};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;

fn site(name: &str) -> SiteSpec {
    SiteSpec { name: name.into(), gateways: 2, workers: 3, cores: 4, memory_mb: 4_000 }
}

fn load(site: usize, class: Option<usize>, repeats: f64) -> LoadSpec {
    LoadSpec {
        site,
        class,
        functions: 0..2,
        calls_per_s: 40.0,
        span: 0..2_000_000,
        patience: 2_000_000,
        duplicate_share: repeats,
        retries: 1,
        honour_retry_after: false,
        retry_uncertain: false,
        tenant: String::new(),
    }
}

fn spec(loads: Vec<LoadSpec>) -> SitesSpec {
    let link = SiteLink { delay_range: (5_000, 8_000), ..SiteLink::default() };
    SitesSpec {
        program: env!("CARGO_BIN_EXE_basaltward").into(),
        sites: vec![site("a"), site("b")],
        functions: 2,
        work_ms: 10,
        load_ms: 50,
        holders: 0,
        standalone: false,
        tenants: Vec::new(),
        links: BTreeMap::from([((0, 1), link), ((1, 0), link)]),
        loads,
        env: Vec::new(),
        seed: 5,
    }
}

#[test]
fn two_sites_keep_the_rules_while_links_and_gateways_fail() {
    let slow = SiteLink { delay_range: (100_000, 150_000), loss_rate: 0.1, ..SiteLink::default() };
    let silent = SiteLink { blackhole: true, ..slow };
    let broken = SiteLink { broken: true, ..slow };
    let acts = [
        (300, SiteAction::Link(0, 1, slow)),
        (600, SiteAction::Kill(ProcessSelector::Gateway(1))),
        (1_000, SiteAction::Link(1, 0, silent)),
        (1_300, SiteAction::Start(ProcessSelector::Gateway(1))),
        (1_500, SiteAction::Link(0, 1, broken)),
    ];
    let steps = acts.map(|(ms, act)| SiteStep { at: ms * 1_000, action: act }).to_vec();
    let spec = spec(vec![load(0, None, 0.0), load(1, None, 0.0)]);
    let mut bed = run_sites(&SitesScript { spec, span: 2_000_000, steps }).expect("it runs");
    let (records, _) = bed.finish().expect("it stops");
    let verdict = check_sites(&bed, &records);
    assert!(verdict.verdict.passed(), "{:?} {:?}", verdict.verdict.rule_breaches, verdict.verdict.violations);
    assert!(verdict.sites.iter().all(|site| site.served > 10), "{:?}", verdict.sites);
    let datagrams: u64 = bed.network.relay.counts().values().map(|c| c.datagrams.0).sum();
    assert!(datagrams > 20, "{datagrams} datagrams between gateways");
}

/// Sends a call as one gateway hands it over to another, but with more hops than a gateway may set.
fn send_call_on_second_hop(bed: &SiteCluster) {
    let mut stream = TcpStream::connect(bed.front_addresses[0][2]).expect("the connection is accepted");
    let call = "POST /functions/view-0 HTTP/1.1\r\nHost: b\r\nce-specversion: 1.0\r\nce-id: 1\r\nce-source: injected\r\n\
                ce-type: t\r\nce-hops: 2\r\nce-handedby: n0\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(call.as_bytes()).expect("the call is sent");
    assert!(stream.read(&mut [0; 64]).expect("a response") > 0);
}

/// Injected faults: gateways that are not configured with one another, and a call on its second hop.
#[test]
fn two_effects_of_one_event_and_a_second_hop_are_detected() {
    let script = SitesScript {
        spec: SitesSpec { standalone: true, ..spec(vec![load(0, Some(2), 1.0)]) },
        span: 2_000_000,
        steps: Vec::new(),
    };
    let mut bed = run_sites(&script).expect("it runs");
    send_call_on_second_hop(&bed);
    let (records, _) = bed.finish().expect("it stops");
    let verdict = check_sites(&bed, &records).verdict;
    let twice = verdict
        .violations
        .iter()
        .filter(|fault| matches!(fault, FleetViolation::DuplicateEffect(..)))
        .count();
    assert!(twice > 5, "{:?}", verdict.violations);
    assert!(
        verdict.violations.contains(&FleetViolation::TooManyHops("injected#1".into(), 2)),
        "{:?}",
        verdict.violations
    );
    assert!(
        verdict.violations.iter().all(|fault| matches!(
            fault,
            FleetViolation::DuplicateEffect(..) | FleetViolation::TooManyHops(..)
        )),
        "{:?}",
        verdict.violations
    );
}
