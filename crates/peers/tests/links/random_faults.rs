//! Faults by chance, one seed after another: whatever happens on the way, no frame comes changed or twice, and none is
//! lost without a word.

use crate::network::TestNetwork;
use crate::relay::Faults;
use basaltward_peers::{ConnectionEvent, EndpointEvent};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;

const S: u64 = 1_000_000;
const SIZE: usize = 3;

/// What one peer has given to another since it was last told that something may be lost.
type Owed = [[BTreeSet<u32>; SIZE]; SIZE];

fn frame(number: u32) -> Vec<u8> {
    let mut bytes = number.to_le_bytes().to_vec();
    bytes.resize(4 + number as usize % 3_000, number as u8);
    bytes
}

/// Goes through what has happened: who was told of a loss is owed nothing, and what came is no longer owed.
fn settle(network: &mut TestNetwork, owed: &mut Owed, came: &mut BTreeSet<(usize, u32)>, seed: u64) {
    for (of, peer) in network.peers.iter_mut().enumerate() {
        for event in std::mem::take(&mut peer.events) {
            match event {
                EndpointEvent::Connection(ConnectionEvent::Down(to)) => owed[of][usize::from(to)].clear(),
                EndpointEvent::Connection(ConnectionEvent::Frame(from, _, bytes)) => {
                    let number = u32::from_le_bytes(*bytes.first_chunk().expect("a number"));
                    assert_eq!(bytes, frame(number), "seed {seed}: changed on the way");
                    assert!(came.insert((of, number)), "seed {seed}: {number} came to {of} twice");
                    owed[usize::from(from)][of].remove(&number);
                }
                EndpointEvent::Connection(ConnectionEvent::Up(..)) | EndpointEvent::Transport(_) => {}
            }
        }
    }
}

fn day(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut network, mut owed, mut came) = (TestNetwork::new(SIZE), Owed::default(), BTreeSet::new());
    let mut number = 0;
    for _ in 0..60 {
        let of = rng.random_range(0..SIZE);
        match rng.random_range(0..12) {
            0 => network.relays[of].close_all(),
            1 => network.relays[of].faults.stalled = [rng.random(), rng.random()],
            2 => network.relays[of].faults.delay = rng.random_range(0..600_000),
            3 => network.relays[of].faults.close_after = Some(rng.random_range(1..20_000)),
            4 => network.relays[of].faults.corrupt_at = Some(rng.random_range(0..20_000)),
            5 => network.peers[of].stalled = true,
            6 => {
                network.restart(of);
                // A life that is no more is owed nothing, and owes nothing.
                (0..SIZE).for_each(|other| owed[of][other].clear());
            }
            7 | 8 => network.relays[of].faults = Faults::default(),
            _ => network.peers.iter_mut().for_each(|peer| peer.stalled = false),
        }
        for _ in 0..rng.random_range(0..30) {
            let (from, to) = (rng.random_range(0..SIZE), rng.random_range(0..SIZE));
            number += 1;
            if from != to && network.send(from, to as u16, &frame(number)).is_ok() {
                owed[from][to].insert(number);
            }
        }
        network.advance(rng.random_range(1..60) * 50_000);
        settle(&mut network, &mut owed, &mut came, seed);
    }
    for of in 0..SIZE {
        (network.relays[of].faults, network.peers[of].stalled) = (Faults::default(), false);
    }
    network.advance(40 * S);
    settle(&mut network, &mut owed, &mut came, seed);
    assert!(owed.iter().flatten().all(BTreeSet::is_empty), "seed {seed}: lost without a word: {owed:?}");
    assert!(came.len() * 4 > number as usize, "seed {seed}: {} of {number} came", came.len());
}

#[test]
fn no_frame_comes_changed_or_twice_and_none_is_lost_without_a_word() {
    let seeds = std::env::var("LINKS_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(3);
    (1..=seeds).for_each(day);
}
