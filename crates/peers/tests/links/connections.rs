//! Connections between valid peers, over delayed, throttled, stalled and broken network paths.

use crate::network::TestNetwork;
use crate::relay::Faults;
use basaltward_membership::MemberState;
use basaltward_peers::{ConnectionEvent, EndpointEvent, Event};
use basaltward_permits::{PermitRequest, Subject};

const S: u64 = 1_000_000;

fn numbered(range: std::ops::Range<u32>) -> Vec<Vec<u8>> {
    range.map(|number| number.to_le_bytes().to_vec()).collect()
}

#[test]
fn both_ends_send_frames_on_the_connection_opened_by_the_first_sender() {
    let mut network = TestNetwork::new(3);
    numbered(0..500).iter().for_each(|frame| network.send(0, 1, frame).expect("accepted"));
    network.run_until("all frames received", |network| network.peers[1].received_from(0).len() == 500);
    numbered(0..500).iter().for_each(|frame| network.send(1, 0, frame).expect("accepted"));
    network.run_until("all frames received in the other direction", |network| {
        network.peers[0].received_from(1).len() == 500
    });
    assert_eq!(
        (network.peers[1].received_from(0), network.peers[0].received_from(1)),
        (numbered(0..500), numbered(0..500))
    );
    assert_eq!(network.relays.iter().map(|relay| relay.accepted).collect::<Vec<_>>(), [0, 1, 0]);
    let start_ms = network.peers[0].endpoint.start_ms();
    assert_eq!(network.peers[1].event_count(&ConnectionEvent::Up(0, start_ms)), 1);
    // An idle connection is closed by the end that opened it, and a new one is opened for the next frame.
    network.advance(31 * S);
    assert!((0..2).all(|peer| {
        network.peers[peer].endpoint.connections().counters(1 - peer as u16).closed_in_order == 1
    }));
    assert!(network.peers.iter().all(|peer| peer.endpoint.connections().is_empty()));
    network.send(1, 0, b"again").expect("accepted");
    network
        .run_until("received on a new connection", |network| network.peers[0].received_from(1).len() == 501);
}

#[test]
fn simultaneous_connections_neither_lose_nor_duplicate_frames() {
    let mut network = TestNetwork::new(2);
    for number in 0..100u32 {
        network.send(0, 1, &number.to_le_bytes()).expect("accepted");
        network.send(1, 0, &number.to_le_bytes()).expect("accepted");
        network.advance(50_000);
    }
    network.run_until("all frames received", |network| {
        network.peers.iter().all(|peer| peer.endpoint.connections().len() == 2)
    });
    assert_eq!(
        (network.peers[1].received_from(0), network.peers[0].received_from(1)),
        (numbered(0..100), numbered(0..100))
    );
    assert!(
        (0..2).all(|peer| network.peers[peer].endpoint.connections().counters(1 - peer as u16).established == 1)
    );
}

#[test]
fn a_delay_of_300_ms_keeps_the_connection_and_shows_in_the_round_trip_time() {
    let mut network = TestNetwork::new(2);
    network.relays[1].faults = Faults { delay: 300_000, ..Faults::default() };
    network.send(0, 1, b"delayed").expect("accepted");
    let elapsed = network.advance_until(3 * S, "the frame is received", |network| {
        !network.peers[1].received_from(0).is_empty()
    });
    assert!((900_000..1_200_000).contains(&elapsed), "a round trip of handshakes, then the frame: {elapsed}");
    network.advance(10 * S);
    for (peer, other) in [(0, 1), (1, 0)] {
        let (rtt, age) =
            network.peers[peer].endpoint.connections().rtt(other, network.now).expect("measured");
        assert!((600_000..800_000).contains(&rtt) && age <= 2 * S, "{rtt} {age}");
        assert_eq!(network.peers[peer].endpoint.connections().counters(other).stalled, 0);
    }
}

#[test]
fn closed_stalled_and_failed_connections_are_reported_and_counted_separately() {
    for direction in [0, 1] {
        let mut network = TestNetwork::new(2);
        network.send(0, 1, b"up").expect("accepted");
        network.run_until("up", |network| !network.peers[1].received_from(0).is_empty());
        network.relays[1].close_all();
        network.run_until("all connections ended", |network| {
            network.peers.iter().all(|peer| peer.endpoint.connections().is_empty())
        });
        assert_eq!(network.peers[0].event_count(&ConnectionEvent::Down(1)), 1);
        network.advance(S);
        network.send(0, 1, b"up").expect("accepted");
        network.run_until("up", |network| network.peers[1].received_from(0).len() == 2);
        network.advance(3 * S);
        network.relays[1].faults.stalled[direction] = true;
        let elapsed = network.advance_until(6 * S, "the stall is reported", |network| {
            network.peers[0].event_count(&ConnectionEvent::Down(1)) == 2
        });
        assert!((3 * S..=5 * S).contains(&elapsed), "{elapsed}");
        assert_eq!(
            network.peers[0].endpoint.connections().rtt(1, network.now),
            None,
            "no round trip time without a connection"
        );
        network.advance(2 * S);
        for peer in 0..2 {
            let counters = network.peers[peer].endpoint.connections().counters(1 - peer as u16);
            assert_eq!(
                (counters.disconnected, counters.stalled, counters.connect_failed),
                (1, 1, 0),
                "direction {direction}, peer {peer}"
            );
        }
        // Frames queued for a connection are reported as lost, and attempts to connect become rarer.
        network.relays[1].faults.stalled = [true; 2];
        for _ in 0..6 {
            network.send(0, 1, b"queued").expect("accepted");
            network.advance(10 * S);
        }
        let counters = network.peers[0].endpoint.connections().counters(1);
        assert!(counters.queue_discards == 6 && (1..=12).contains(&counters.connect_failed), "{counters:?}");
        assert_eq!(network.peers[0].event_count(&ConnectionEvent::Down(1)), 8);
        network.relays[1].close_all();
        network.relays[1].faults = Faults::default();
        network.send(0, 1, b"recovered").expect("accepted");
        network.advance_until(6 * S, "recovered", |network| {
            network.peers[1].received_from(0).last().is_some_and(|frame| frame == b"recovered")
        });
    }
}

#[test]
fn a_throttled_connection_delivers_all_frames_and_does_not_count_as_stalled() {
    let mut network = TestNetwork::with(2, |config| config.connections.timeouts.pong_timeout = 120 * S);
    network.send(0, 1, b"up").expect("accepted");
    network.run_until("up", |network| network.peers[1].received_from(0).len() == 1);
    network.relays[1].faults.rate = Some(50_000);
    // 2 MB, which take 40 s at this rate.
    let mut accepted = 0;
    while accepted < 500 {
        accepted += usize::from(network.send(0, 1, &[1; 4_000]).is_ok());
        network.advance(20_000);
    }
    let rtt = network.peers[0].endpoint.connections().rtt(1, network.now).expect("connected").0;
    assert!(rtt > 5 * S, "the round trip time includes the queued data: {rtt}");
    network.advance_until(60 * S, "all frames received", |network| {
        network.peers[1].received_from(0).len() == accepted + 1
    });
    let counters = network.peers[0].endpoint.connections().counters(1);
    assert_eq!((counters.established, counters.stalled, counters.disconnected), (1, 0, 0));
}

#[test]
fn attempts_to_connect_to_a_closed_port_become_rarer() {
    let mut network = TestNetwork::new(2);
    let (now, first_peer) = (network.now, &mut network.peers[0]);
    let closed_ports = first_peer.config.connections.peers.clone();
    first_peer
        .endpoint
        .update_peers(&mut first_peer.io, now, (&first_peer.config.transport, closed_ports))
        .expect("valid lists");
    for _ in 0..60 {
        network.send(0, 1, b"undeliverable").expect("accepted");
        network.advance(S);
    }
    let attempts = network.peers[0].endpoint.connections().counters(1).connect_failed;
    assert!((10..=25).contains(&attempts), "{attempts} in a minute");
}

#[test]
fn the_round_trip_time_is_at_least_the_age_of_the_pending_ping() {
    let mut network = TestNetwork::new(2);
    network.send(0, 1, b"up").expect("accepted");
    network.advance(2 * S);
    network.relays[1].faults.delay = 2 * S;
    network.advance(2 * S + 500_000);
    let (rtt, _) = network.peers[0].endpoint.connections().rtt(1, network.now).expect("measured");
    assert!(rtt >= S, "{rtt}");
}

#[test]
fn a_peer_that_stalled_itself_does_not_count_its_connections_as_stalled() {
    // The other peers have timeouts longer than the stall.
    let mut network = TestNetwork::with(3, |config| {
        if config.transport.own == 0 {
            return;
        }
        let timeouts = &mut config.connections.timeouts;
        (timeouts.receive_timeout, timeouts.pong_timeout, timeouts.idle_timeout) = (60 * S, 60 * S, 60 * S);
    });
    network.send(0, 1, b"up").expect("accepted");
    network.send(2, 0, b"up").expect("accepted");
    // Delayed enough that a pong is in flight whenever the stall begins.
    network.relays.iter_mut().for_each(|relay| relay.faults.delay = 450_000);
    network.advance(4 * S);
    network.peers[0].stalled = true;
    network.advance(20 * S);
    network.peers[0].stalled = false;
    network.advance(S);
    for peer in [1, 2] {
        let connections = network.peers[0].endpoint.connections();
        let (rtt, _) = connections.rtt(peer, network.now).expect("measured");
        assert!(rtt < 2 * S, "peer {peer}: {rtt} includes the local stall of 20 s");
        assert_eq!((connections.counters(peer).established, connections.counters(peer).stalled), (1, 0));
    }
}

#[test]
fn connections_to_a_stalled_peer_end_and_are_restored_when_it_resumes() {
    let mut network = TestNetwork::new(3);
    network.send(0, 1, b"up").expect("accepted");
    network.send(2, 0, b"up").expect("accepted");
    network.advance(2 * S);
    network.peers[0].stalled = true;
    network.advance(3 * S);
    network.send(2, 0, b"during the stall").expect("accepted");
    network.advance(17 * S);
    assert_eq!(network.peers[1].endpoint.connections().counters(0).stalled, 1);
    assert_eq!(network.peers[1].event_count(&ConnectionEvent::Down(0)), 1);
    network.peers[0].stalled = false;
    network.advance(S);
    assert_eq!(
        network.peers[0].received_from(2).len(),
        2,
        "frames received before the end of the connection are read"
    );
    for (from, to) in [(0, 1), (1, 0), (2, 0), (0, 2)] {
        network.send(from, to, b"resumed").expect("accepted");
    }
    network.advance_until(6 * S, "all frames received after the stall", |network| {
        [(0, 1), (1, 0), (2, 0), (0, 2)].iter().all(|(from, to): &(u16, usize)| {
            network.peers[*to].received_from(*from).last().is_some_and(|frame| frame == b"resumed")
        })
    });
}

#[test]
fn a_later_incarnation_replaces_the_connection_of_an_earlier_one() {
    // The connection of the earlier incarnation is outbound in one case and inbound in the other.
    for (from, to) in [(0, 1), (1, 0)] {
        let mut network = TestNetwork::new(2);
        network.send(from, to, b"first").expect("accepted");
        let both = |network: &TestNetwork| {
            network.peers.iter().all(|peer| {
                peer.endpoint.connections().connected_start_ms(1 - peer.config.transport.own).is_some()
            })
        };
        network.run_until("up", |network| both(network));
        // The other peer does not notice the end of the earlier incarnation.
        network.relays.iter_mut().for_each(crate::relay::Relay::freeze);
        let earlier = network.peers[0].endpoint.start_ms();
        network.restart(0);
        let later = network.peers[0].endpoint.start_ms();
        network.send(0, 1, b"second").expect("accepted");
        network.run_until("a frame of the later incarnation", |network| {
            network.peers[1].received_from(0).last().is_some_and(|frame| frame == b"second")
        });
        let reported = network.peers[1].events.iter().filter(|event| {
            matches!(event, EndpointEvent::Connection(ConnectionEvent::Up(..) | ConnectionEvent::Down(_)))
        });
        let expected =
            [ConnectionEvent::Up(0, earlier), ConnectionEvent::Down(0), ConnectionEvent::Up(0, later)];
        assert!(
            later > earlier && reported.eq(expected.map(EndpointEvent::Connection).iter()),
            "opened by {from}"
        );
    }
}

#[test]
fn frames_queued_for_an_incarnation_are_not_sent_to_the_next() {
    let mut network = TestNetwork::new(2);
    network.send(1, 0, b"first").expect("accepted");
    network.run_until("up", |network| network.peers[0].received_from(1).len() == 1);
    network.restart(0);
    network.run_until("the end of the connection is reported", |network| {
        network.peers[1].event_count(&ConnectionEvent::Down(0)) == 1
    });
    network.send(1, 0, b"for the earlier incarnation").expect("accepted");
    let start_ms = network.peers[0].endpoint.start_ms();
    network.advance_until(4 * S, "up again", |network| {
        network.peers[1].event_count(&ConnectionEvent::Up(0, start_ms)) == 1
    });
    network.send(1, 0, b"for the later incarnation").expect("accepted");
    network.run_until("received", |network| !network.peers[0].received_from(1).is_empty());
    assert_eq!(network.peers[0].received_from(1), [b"for the later incarnation"]);
    assert_eq!(network.peers[1].event_count(&ConnectionEvent::Down(0)), 2);
}

#[test]
fn an_endpoint_provides_membership_facts_and_permits() {
    let mut network = TestNetwork::new(3);
    let up =
        |network: &TestNetwork| network.peers.iter().all(|peer| peer.endpoint.membership().live_count() == 3);
    network.advance_until(20 * S, "all members are live", up);
    let now = network.now;
    assert!(network.peers[1].endpoint.publish_fact(
        now,
        basaltward_membership::SHED_KEYS.start,
        b"load",
        20 * S
    ));
    network.advance_until(10 * S, "the fact is received", |network| {
        network.peers[2].endpoint.fact(network.now, 1, basaltward_membership::SHED_KEYS.start)
            == Some(b"load")
    });
    let known =
        |network: &TestNetwork| network.peers.iter().all(|peer| peer.endpoint.permit_state().is_some());
    network.advance_until(60 * S, "a leader", known);
    let tag = network.peers[1]
        .endpoint
        .submit(network.now, PermitRequest::Check(Subject::Scheduler(2)))
        .expect("takes part in the permits");
    let answered = |network: &TestNetwork| {
        network.peers[1].events.iter().any(
            |event| matches!(event, EndpointEvent::Transport(Event::Answered { tag: answered, .. }) if *answered == tag),
        )
    };
    network.advance_until(10 * S, "answered", answered);
    let (now, last) = (network.now, &mut network.peers[2]);
    last.endpoint.stop(&mut last.io, now);
    network.advance_until(10 * S, "its stop is known", |network| {
        network.peers[..2]
            .iter()
            .all(|peer| peer.endpoint.membership().members()[2].state == MemberState::Stopped)
    });
}
