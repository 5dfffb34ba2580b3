//! Gateways of two sites in one process: kept events wait for the other site, and the control thread holds nobody up.
mod common;

use basaltward_config::{
    Config, JournalConfig, ReplicationConfig, SitePeerConfig, SitesConfig, UnreplicatedPolicy,
};
use basaltward_rules::{Observation, Recorder};
use basaltward_scenario::Harness;
use common::*;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// A free port at an address that no other test uses.
fn reserve(host: u8) -> SocketAddr {
    let own = 1 + (std::process::id() % 250) as u8;
    let bound = TcpListener::bind((Ipv4Addr::new(127, 90, own, host), 0));
    bound.and_then(|listener| listener.local_addr()).expect("an address")
}

/// Settings of each of so many sites of one gateway; all classes are kept by one neighbour.
fn sites(count: u8, unheld: UnreplicatedPolicy, host: u8) -> Vec<Config> {
    let address = |_: u8| reserve(host);
    let peer = |site: u8| SitePeerConfig {
        name: format!("g{site}"),
        site,
        datagram_address: address(site),
        client_address: address(site),
        journal_address: address(site),
    };
    let peers: Vec<_> = (0..count).map(peer).collect();
    let one = |own: u8| {
        let us = &peers[usize::from(own)];
        let sites = SitesConfig {
            fleet: "test".into(),
            datagram_listen: us.datagram_address,
            journal_listen: us.journal_address,
            operator_hosts: Vec::new(),
            own_index: own.into(),
            site_names: (0..count).map(|site| format!("s{site}")).collect(),
            peers: peers.clone(),
            hand_over: true,
            shed: true,
            journal: JournalConfig { max_bytes: 1 << 20, max_entry_bytes: 8 << 10, lease: 2_000_000 },
        };
        let kept = Some(ReplicationConfig { holders: 1, unreplicated: unheld, finish_without_client: false });
        Config {
            name: us.name.clone(),
            listen: us.client_address,
            replication: vec![kept; 3],
            sites: Some(sites),
            ..config()
        }
    };
    (0..count).map(one).collect()
}

fn start(config: &Config, recorder: &Recorder) -> Harness {
    Harness::start(config, 1, vec![worker(); 2], recorder.clone()).expect("a bed")
}

/// Waits until an event of this function is served: the sites have found each other.
fn served(to: SocketAddr, function: &str) -> bool {
    let until = Instant::now() + LONG * 3;
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
fn kept_events_are_served_once_another_site_holds_them_and_refused_without_one() {
    let configs = sites(2, UnreplicatedPolicy::Refuse, 1);
    let recorder = Recorder::memory();
    let near = start(&configs[0], &recorder);
    let to = near.addresses[0];
    // A safe one is not begun; of the others it can't be known whether this is a repeat.
    let alone = FUNCTIONS.map(|function| status(to, function, "alone"));
    assert_eq!(alone, [503, 502, 502], "nobody holds it, and who owns it is not known");
    let far = start(&configs[1], &recorder);
    assert!(FUNCTIONS.iter().all(|function| served(to, function)));
    // Repeats of one that was served are answered from the record, at whichever site.
    let both = [near.addresses[0], far.addresses[0]];
    let first = both.iter().cycle().take(40).find(|to| status(**to, "stamp", "once") == 200);
    assert!(first.is_some(), "never served");
    assert_eq!(both.map(|to| status(to, "stamp", "once")), [200, 200]);
    far.stop().expect("an orderly end");
    let (records, breaches) = judge(near);
    assert_eq!((runs(&records, "once"), runs(&records, "alone"), breaches), (1, 0, Vec::new()));
}

#[test]
fn a_control_thread_that_stands_still_harms_no_call_of_other_classes() {
    let configs = sites(1, UnreplicatedPolicy::Continue, 2);
    let bed = start(&Config { replication: vec![None; 3], ..configs[0].clone() }, &Recorder::memory());
    let to = bed.addresses[0];
    assert_eq!(status(to, "view", "before"), 200);
    bed.gateways[0].iter().for_each(|gateway| gateway.stall_control(Duration::from_secs(3)));
    let began = Instant::now();
    for number in 0..50 {
        assert_eq!(status(to, FUNCTIONS[number % 3], &format!("e{number}")), 200);
    }
    assert!(began.elapsed() < Duration::from_secs(2), "calls waited for it: {:?}", began.elapsed());
    let (records, breaches) = judge(bed);
    assert!(
        breaches.is_empty()
            && records.iter().any(|r| matches!(r.observation, Observation::AnswerSent { .. }))
    );
}
