//! Gateways of several sites in one process: replicated events wait for another site to hold them, and a stalled
//! control thread delays no calls.
mod common;

use basaltward_config::{
    Config, JournalConfig, ReplicationConfig, SitePeerConfig, SitesConfig, UnreplicatedPolicy,
};
use basaltward_rules::{Observation, Recorder};
use basaltward_scenario::Harness;
use common::*;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// A free port at a loopback address that no other test uses.
fn reserve_address(host: u8) -> SocketAddr {
    let process_part = 1 + (std::process::id() % 250) as u8;
    let bound = TcpListener::bind((Ipv4Addr::new(127, 90, process_part, host), 0));
    bound.and_then(|listener| listener.local_addr()).expect("address reserved")
}

/// Settings of `count` sites with one gateway each. All classes are replicated to one other site; `unreplicated` is
/// the policy for an event that no other site holds.
fn site_configs(count: u8, unreplicated: UnreplicatedPolicy, host: u8) -> Vec<Config> {
    let address = |_: u8| reserve_address(host);
    let peer = |site: u8| SitePeerConfig {
        name: format!("g{site}"),
        site,
        datagram_address: address(site),
        client_address: address(site),
        journal_address: address(site),
    };
    let peers: Vec<_> = (0..count).map(peer).collect();
    let one = |own: u8| {
        let local = &peers[usize::from(own)];
        let sites = SitesConfig {
            fleet: "test".into(),
            datagram_listen: local.datagram_address,
            journal_listen: local.journal_address,
            operator_hosts: Vec::new(),
            own_index: own.into(),
            site_names: (0..count).map(|site| format!("s{site}")).collect(),
            peers: peers.clone(),
            hand_over: true,
            shed: true,
            journal: JournalConfig { max_bytes: 1 << 20, max_entry_bytes: 8 << 10, lease: 2_000_000 },
        };
        let replication = Some(ReplicationConfig { holders: 1, unreplicated, finish_without_client: false });
        Config {
            name: local.name.clone(),
            listen: local.client_address,
            replication: vec![replication; 3],
            sites: Some(sites),
            ..config()
        }
    };
    (0..count).map(one).collect()
}

fn start(config: &Config, recorder: &Recorder) -> Harness {
    Harness::start(config, 1, vec![fast_worker(); 2], recorder.clone()).expect("harness started")
}

/// Sends events of this function until one is served, which shows that the sites have found each other. Returns false
/// if none is in time.
fn wait_until_served(to: SocketAddr, function: &str) -> bool {
    let until = Instant::now() + TEST_TIMEOUT * 3;
    let mut tries = 0;
    while Instant::now() < until {
        tries += 1;
        if status(to, function, &format!("{function}-{tries}")) == 200 {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

#[test]
fn replicated_events_are_served_when_another_site_holds_them_and_refused_otherwise() {
    let configs = site_configs(2, UnreplicatedPolicy::Refuse, 1);
    let recorder = Recorder::memory();
    let near = start(&configs[0], &recorder);
    let to = near.addresses[0];
    // A safe event is not begun: 503. Of the others the gateway can't determine whether this is a repeat: 502.
    let alone = FUNCTIONS.map(|function| status(to, function, "alone"));
    assert_eq!(alone, [503, 502, 502], "no other site holds the event, and its owner is unknown");
    let far = start(&configs[1], &recorder);
    assert!(FUNCTIONS.iter().all(|function| wait_until_served(to, function)));
    // Repeats of a served event are answered from its record at either site.
    let both = [near.addresses[0], far.addresses[0]];
    let first = both.iter().cycle().take(40).find(|to| status(**to, "stamp", "once") == 200);
    assert!(first.is_some(), "event was never served");
    assert_eq!(both.map(|to| status(to, "stamp", "once")), [200, 200]);
    far.stop().expect("harness stopped");
    let (records, breaches) = judge(near);
    assert_eq!((run_count(&records, "once"), run_count(&records, "alone"), breaches), (1, 0, Vec::new()));
}

#[test]
fn a_stalled_control_thread_does_not_delay_calls_that_are_not_replicated() {
    let configs = site_configs(1, UnreplicatedPolicy::Continue, 2);
    let harness = start(&Config { replication: vec![None; 3], ..configs[0].clone() }, &Recorder::memory());
    let to = harness.addresses[0];
    assert_eq!(status(to, "view", "before"), 200);
    harness.gateways[0].iter().for_each(|gateway| gateway.stall_control(Duration::from_secs(3)));
    let started = Instant::now();
    for number in 0..50 {
        assert_eq!(status(to, FUNCTIONS[number % 3], &format!("e{number}")), 200);
    }
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "calls waited for the control thread: {:?}",
        started.elapsed()
    );
    let (records, breaches) = judge(harness);
    assert!(
        breaches.is_empty()
            && records.iter().any(|r| matches!(r.observation, Observation::AnswerSent { .. }))
    );
}
