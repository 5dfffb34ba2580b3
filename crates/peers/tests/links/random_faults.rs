//! Random network faults, stalls and restarts, one seed after another: no frame is corrupted or delivered twice, and
//! none is lost without a [`ConnectionEvent::Down`].

use crate::network::TestNetwork;
use crate::relay::Faults;
use basaltward_peers::{ConnectionEvent, EndpointEvent};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;

const S: u64 = 1_000_000;
const SIZE: usize = 3;

/// Numbers of the frames that each peer sent to each other one and that were neither received nor reported as
/// possibly lost.
type Outstanding = [[BTreeSet<u32>; SIZE]; SIZE];

fn frame(number: u32) -> Vec<u8> {
    let mut bytes = number.to_le_bytes().to_vec();
    bytes.resize(4 + number as usize % 3_000, number as u8);
    bytes
}

/// Processes the events of all peers: a reported loss clears the outstanding frames to that peer, and a received
/// frame is no longer outstanding.
fn process_events(
    network: &mut TestNetwork,
    outstanding: &mut Outstanding,
    received: &mut BTreeSet<(usize, u32)>,
    seed: u64,
) {
    for (peer, state) in network.peers.iter_mut().enumerate() {
        for event in std::mem::take(&mut state.events) {
            match event {
                EndpointEvent::Connection(ConnectionEvent::Down(to)) => {
                    outstanding[peer][usize::from(to)].clear()
                }
                EndpointEvent::Connection(ConnectionEvent::Frame(from, _, bytes)) => {
                    let number = u32::from_le_bytes(*bytes.first_chunk().expect("a number"));
                    assert_eq!(bytes, frame(number), "seed {seed}: corrupted");
                    assert!(
                        received.insert((peer, number)),
                        "seed {seed}: frame {number} was delivered to {peer} twice"
                    );
                    outstanding[usize::from(from)][peer].remove(&number);
                }
                EndpointEvent::Connection(ConnectionEvent::Up(..)) | EndpointEvent::Transport(_) => {}
            }
        }
    }
}

/// Runs 60 rounds of a random fault, random frames and a random delay; then all faults end.
fn run(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut network, mut outstanding, mut received) =
        (TestNetwork::new(SIZE), Outstanding::default(), BTreeSet::new());
    let mut number = 0;
    for _ in 0..60 {
        let peer = rng.random_range(0..SIZE);
        match rng.random_range(0..12) {
            0 => network.relays[peer].close_all(),
            1 => network.relays[peer].faults.stalled = [rng.random(), rng.random()],
            2 => network.relays[peer].faults.delay = rng.random_range(0..600_000),
            3 => network.relays[peer].faults.close_after = Some(rng.random_range(1..20_000)),
            4 => network.relays[peer].faults.corrupt_at = Some(rng.random_range(0..20_000)),
            5 => network.peers[peer].stalled = true,
            6 => {
                network.restart(peer);
                // The earlier incarnation's own frames are lost with it.
                (0..SIZE).for_each(|other| outstanding[peer][other].clear());
            }
            7 | 8 => network.relays[peer].faults = Faults::default(),
            _ => network.peers.iter_mut().for_each(|peer| peer.stalled = false),
        }
        for _ in 0..rng.random_range(0..30) {
            let (from, to) = (rng.random_range(0..SIZE), rng.random_range(0..SIZE));
            number += 1;
            if from != to && network.send(from, to as u16, &frame(number)).is_ok() {
                outstanding[from][to].insert(number);
            }
        }
        network.advance(rng.random_range(1..60) * 50_000);
        process_events(&mut network, &mut outstanding, &mut received, seed);
    }
    for peer in 0..SIZE {
        (network.relays[peer].faults, network.peers[peer].stalled) = (Faults::default(), false);
    }
    network.advance(40 * S);
    process_events(&mut network, &mut outstanding, &mut received, seed);
    assert!(
        outstanding.iter().flatten().all(BTreeSet::is_empty),
        "seed {seed}: lost without a report: {outstanding:?}"
    );
    assert!(
        received.len() * 4 > number as usize,
        "seed {seed}: {} of {number} frames received",
        received.len()
    );
}

#[test]
fn no_frame_is_corrupted_or_duplicated_and_every_loss_is_reported() {
    let seeds = std::env::var("LINKS_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(3);
    (1..=seeds).for_each(run);
}
