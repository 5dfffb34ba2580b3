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
fn frames_go_both_ways_on_the_one_connection_of_whoever_sent_first() {
    let mut network = TestNetwork::new(3);
    numbered(0..500).iter().for_each(|frame| network.send(0, 1, frame).expect("taken"));
    network.run_until("all there", |network| network.peers[1].received_from(0).len() == 500);
    numbered(0..500).iter().for_each(|frame| network.send(1, 0, frame).expect("taken"));
    network.run_until("all back", |network| network.peers[0].received_from(1).len() == 500);
    assert_eq!(
        (network.peers[1].received_from(0), network.peers[0].received_from(1)),
        (numbered(0..500), numbered(0..500))
    );
    assert_eq!(network.relays.iter().map(|relay| relay.accepted).collect::<Vec<_>>(), [0, 1, 0]);
    let life = network.peers[0].endpoint.start_ms();
    assert_eq!(network.peers[1].event_count(&ConnectionEvent::Up(0, life)), 1);
    // Unused, it is ended by whoever made it, and made anew when there is something to send.
    network.advance(31 * S);
    assert!(
        (0..2)
            .all(|of| network.peers[of].endpoint.connections().counters(1 - of as u16).closed_in_order == 1)
    );
    assert!(network.peers.iter().all(|peer| peer.endpoint.connections().is_empty()));
    network.send(1, 0, b"again").expect("taken");
    network.run_until("on another", |network| network.peers[0].received_from(1).len() == 501);
}

#[test]
fn two_that_send_at_once_lose_and_double_nothing() {
    let mut network = TestNetwork::new(2);
    for number in 0..100u32 {
        network.send(0, 1, &number.to_le_bytes()).expect("taken");
        network.send(1, 0, &number.to_le_bytes()).expect("taken");
        network.advance(50_000);
    }
    network
        .run_until("all there", |network| network.peers.iter().all(|f| f.endpoint.connections().len() == 2));
    assert_eq!(
        (network.peers[1].received_from(0), network.peers[0].received_from(1)),
        (numbered(0..100), numbered(0..100))
    );
    assert!(
        (0..2).all(|of| network.peers[of].endpoint.connections().counters(1 - of as u16).established == 1)
    );
}

#[test]
fn a_link_300_ms_late_stands_and_its_round_trip_is_measured() {
    let mut network = TestNetwork::new(2);
    network.relays[1].faults = Faults { delay: 300_000, ..Faults::default() };
    network.send(0, 1, b"late").expect("taken");
    let up =
        network.advance_until(3 * S, "it comes", |network| !network.peers[1].received_from(0).is_empty());
    assert!((900_000..1_200_000).contains(&up), "handshake there and back, then the frame: {up}");
    network.advance(10 * S);
    for (of, other) in [(0, 1), (1, 0)] {
        let (trip, age) = network.peers[of].endpoint.connections().rtt(other, network.now).expect("measured");
        assert!((600_000..800_000).contains(&trip) && age <= 2 * S, "{trip} {age}");
        assert_eq!(network.peers[of].endpoint.connections().counters(other).stalled, 0);
    }
}

#[test]
fn a_cut_a_stall_and_a_peer_that_cannot_be_reached_are_told_apart() {
    for way in [0, 1] {
        let mut network = TestNetwork::new(2);
        network.send(0, 1, b"up").expect("taken");
        network.run_until("up", |network| !network.peers[1].received_from(0).is_empty());
        network.relays[1].close_all();
        network
            .run_until("told", |network| network.peers.iter().all(|f| f.endpoint.connections().is_empty()));
        assert_eq!(network.peers[0].event_count(&ConnectionEvent::Down(1)), 1);
        network.advance(S);
        network.send(0, 1, b"up").expect("taken");
        network.run_until("up", |network| network.peers[1].received_from(0).len() == 2);
        network.advance(3 * S);
        network.relays[1].faults.stalled[way] = true;
        let told = network.advance_until(6 * S, "told", |network| {
            network.peers[0].event_count(&ConnectionEvent::Down(1)) == 2
        });
        assert!((3 * S..=5 * S).contains(&told), "{told}");
        assert_eq!(network.peers[0].endpoint.connections().rtt(1, network.now), None, "no link, no figure");
        network.advance(2 * S);
        for of in 0..2 {
            let counts = network.peers[of].endpoint.connections().counters(1 - of as u16);
            assert_eq!(
                (counts.disconnected, counts.stalled, counts.connect_failed),
                (1, 1, 0),
                "way {way} of {of}"
            );
        }
        // What waits for it is told to be lost, and attempts grow rare.
        network.relays[1].faults.stalled = [true; 2];
        for _ in 0..6 {
            network.send(0, 1, b"waits").expect("taken");
            network.advance(10 * S);
        }
        let counts = network.peers[0].endpoint.connections().counters(1);
        assert!(counts.queue_discards == 6 && (1..=12).contains(&counts.connect_failed), "{counts:?}");
        assert_eq!(network.peers[0].event_count(&ConnectionEvent::Down(1)), 8);
        network.relays[1].close_all();
        network.relays[1].faults = Faults::default();
        network.send(0, 1, b"healed").expect("taken");
        network.advance_until(6 * S, "healed", |network| {
            network.peers[1].received_from(0).last().is_some_and(|f| f == b"healed")
        });
    }
}

#[test]
fn a_throttled_link_carries_all_and_is_not_taken_for_a_stalled_one() {
    let mut network = TestNetwork::with(2, |config| config.connections.timeouts.pong_timeout = 120 * S);
    network.send(0, 1, b"up").expect("taken");
    network.run_until("up", |network| network.peers[1].received_from(0).len() == 1);
    network.relays[1].faults.rate = Some(50_000);
    // 40 s of it.
    let mut taken = 0;
    while taken < 500 {
        taken += usize::from(network.send(0, 1, &[1; 4_000]).is_ok());
        network.advance(20_000);
    }
    let slow = network.peers[0].endpoint.connections().rtt(1, network.now).expect("it stands").0;
    assert!(slow > 5 * S, "its round trip shows what waits: {slow}");
    network
        .advance_until(60 * S, "all there", |network| network.peers[1].received_from(0).len() == taken + 1);
    let counts = network.peers[0].endpoint.connections().counters(1);
    assert_eq!((counts.established, counts.stalled, counts.disconnected), (1, 0, 0));
}

#[test]
fn attempts_where_nobody_listens_grow_rare() {
    let mut network = TestNetwork::new(2);
    let (now, zero) = (network.now, &mut network.peers[0]);
    let nobody = zero.config.connections.peers.clone();
    zero.endpoint.update_peers(&mut zero.io, now, (&zero.config.transport, nobody)).expect("good");
    for _ in 0..60 {
        network.send(0, 1, b"to nobody").expect("taken");
        network.advance(S);
    }
    let attempts = network.peers[0].endpoint.connections().counters(1).connect_failed;
    assert!((10..=25).contains(&attempts), "{attempts} in a minute");
}

#[test]
fn a_round_trip_is_never_told_shorter_than_what_is_waited_for_now() {
    let mut network = TestNetwork::new(2);
    network.send(0, 1, b"up").expect("taken");
    network.advance(2 * S);
    network.relays[1].faults.delay = 2 * S;
    network.advance(2 * S + 500_000);
    let (trip, _) = network.peers[0].endpoint.connections().rtt(1, network.now).expect("measured");
    assert!(trip >= S, "{trip}");
}

#[test]
fn one_that_stood_still_doubts_itself_before_its_links() {
    // The others wait for it.
    let mut network = TestNetwork::with(3, |config| {
        if config.transport.own == 0 {
            return;
        }
        let times = &mut config.connections.timeouts;
        (times.receive_timeout, times.pong_timeout, times.idle_timeout) = (60 * S, 60 * S, 60 * S);
    });
    network.send(0, 1, b"up").expect("taken");
    network.send(2, 0, b"up").expect("taken");
    // Late enough that an answer is under way whenever it stops.
    network.relays.iter_mut().for_each(|relay| relay.faults.delay = 450_000);
    network.advance(4 * S);
    network.peers[0].stalled = true;
    network.advance(20 * S);
    network.peers[0].stalled = false;
    network.advance(S);
    for of in [1, 2] {
        let links = network.peers[0].endpoint.connections();
        let (trip, _) = links.rtt(of, network.now).expect("measured");
        assert!(trip < 2 * S, "{of}: {trip} with its own 20 s in it");
        assert_eq!((links.counters(of).established, links.counters(of).stalled), (1, 0));
    }
}

#[test]
fn one_that_stood_still_is_ended_and_is_well_again() {
    let mut network = TestNetwork::new(3);
    network.send(0, 1, b"up").expect("taken");
    network.send(2, 0, b"up").expect("taken");
    network.advance(2 * S);
    network.peers[0].stalled = true;
    network.advance(3 * S);
    network.send(2, 0, b"while it stands still").expect("taken");
    network.advance(17 * S);
    assert_eq!(network.peers[1].endpoint.connections().counters(0).stalled, 1);
    assert_eq!(network.peers[1].event_count(&ConnectionEvent::Down(0)), 1);
    network.peers[0].stalled = false;
    network.advance(S);
    assert_eq!(network.peers[0].received_from(2).len(), 2, "what came before is read, however late");
    for (from, to) in [(0, 1), (1, 0), (2, 0), (0, 2)] {
        network.send(from, to, b"well again").expect("taken");
    }
    network.advance_until(6 * S, "all hear one another", |network| {
        [(0, 1), (1, 0), (2, 0), (0, 2)].iter().all(|(from, to): &(u16, usize)| {
            network.peers[*to].received_from(*from).last().is_some_and(|frame| frame == b"well again")
        })
    });
}

#[test]
fn a_later_life_takes_the_place_of_an_earlier_one() {
    // The connection of the earlier life is one that it made, or one that was made to it.
    for (from, to) in [(0, 1), (1, 0)] {
        let mut network = TestNetwork::new(2);
        network.send(from, to, b"first").expect("taken");
        let both = |network: &TestNetwork| {
            network
                .peers
                .iter()
                .all(|f| f.endpoint.connections().connected_start_ms(1 - f.config.transport.own).is_some())
        };
        network.run_until("up", |network| both(network));
        // Its end is not heard.
        network.relays.iter_mut().for_each(crate::relay::Relay::freeze);
        let earlier = network.peers[0].endpoint.start_ms();
        network.restart(0);
        let later = network.peers[0].endpoint.start_ms();
        network.send(0, 1, b"second").expect("taken");
        network.run_until("the later one", |network| {
            network.peers[1].received_from(0).last().is_some_and(|f| f == b"second")
        });
        let seen = network.peers[1].events.iter().filter(|event| {
            matches!(event, EndpointEvent::Connection(ConnectionEvent::Up(..) | ConnectionEvent::Down(_)))
        });
        let told = [ConnectionEvent::Up(0, earlier), ConnectionEvent::Down(0), ConnectionEvent::Up(0, later)];
        assert!(later > earlier && seen.eq(told.map(EndpointEvent::Connection).iter()), "made by {from}");
    }
}

#[test]
fn what_waits_for_a_life_is_not_given_to_the_next() {
    let mut network = TestNetwork::new(2);
    network.send(1, 0, b"first").expect("taken");
    network.run_until("up", |network| network.peers[0].received_from(1).len() == 1);
    network.restart(0);
    network
        .run_until("its end is told", |network| network.peers[1].event_count(&ConnectionEvent::Down(0)) == 1);
    network.send(1, 0, b"for the life that was").expect("taken");
    let life = network.peers[0].endpoint.start_ms();
    network.advance_until(4 * S, "up again", |network| {
        network.peers[1].event_count(&ConnectionEvent::Up(0, life)) == 1
    });
    network.send(1, 0, b"for the life that is").expect("taken");
    network.run_until("there", |network| !network.peers[0].received_from(1).is_empty());
    assert_eq!(network.peers[0].received_from(1), [b"for the life that is"]);
    assert_eq!(network.peers[1].event_count(&ConnectionEvent::Down(0)), 2);
}

#[test]
fn view_facts_and_agreement_come_with_it() {
    let mut network = TestNetwork::new(3);
    let up = |network: &TestNetwork| network.peers.iter().all(|f| f.endpoint.membership().live_count() == 3);
    network.advance_until(20 * S, "all see all", up);
    let now = network.now;
    assert!(network.peers[1].endpoint.publish_fact(
        now,
        basaltward_membership::SHED_KEYS.start,
        b"load",
        20 * S
    ));
    network.advance_until(10 * S, "told", |network| {
        network.peers[2].endpoint.fact(network.now, 1, basaltward_membership::SHED_KEYS.start)
            == Some(b"load")
    });
    let known = |network: &TestNetwork| network.peers.iter().all(|f| f.endpoint.permit_state().is_some());
    network.advance_until(60 * S, "a leader", known);
    let tag = network.peers[1]
        .endpoint
        .submit(network.now, PermitRequest::Check(Subject::Scheduler(2)))
        .expect("a part in it");
    let answered = |network: &TestNetwork| {
        network.peers[1].events.iter().any(
            |event| matches!(event, EndpointEvent::Transport(Event::Answered { tag: of, .. }) if *of == tag),
        )
    };
    network.advance_until(10 * S, "answered", answered);
    let (now, last) = (network.now, &mut network.peers[2]);
    last.endpoint.stop(&mut last.io, now);
    network.advance_until(10 * S, "its end is known", |network| {
        network.peers[..2].iter().all(|f| f.endpoint.membership().members()[2].state == MemberState::Stopped)
    });
}
