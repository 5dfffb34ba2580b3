use crate::network::Bed;
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
    let mut bed = Bed::new(3);
    numbered(0..500).iter().for_each(|frame| bed.send(0, 1, frame).expect("taken"));
    bed.until("all there", |bed| bed.peers[1].came(0).len() == 500);
    numbered(0..500).iter().for_each(|frame| bed.send(1, 0, frame).expect("taken"));
    bed.until("all back", |bed| bed.peers[0].came(1).len() == 500);
    assert_eq!((bed.peers[1].came(0), bed.peers[0].came(1)), (numbered(0..500), numbered(0..500)));
    assert_eq!(bed.relays.iter().map(|relay| relay.came).collect::<Vec<_>>(), [0, 1, 0]);
    let life = bed.peers[0].endpoint.start_ms();
    assert_eq!(bed.peers[1].saw(&ConnectionEvent::Up(0, life)), 1);
    // Unused, it is ended by whoever made it, and made anew when there is something to send.
    bed.pass(31 * S);
    assert!(
        (0..2).all(|of| bed.peers[of].endpoint.connections().counters(1 - of as u16).closed_in_order == 1)
    );
    assert!(bed.peers.iter().all(|peer| peer.endpoint.connections().is_empty()));
    bed.send(1, 0, b"again").expect("taken");
    bed.until("on another", |bed| bed.peers[0].came(1).len() == 501);
}

#[test]
fn two_that_send_at_once_lose_and_double_nothing() {
    let mut bed = Bed::new(2);
    for number in 0..100u32 {
        bed.send(0, 1, &number.to_le_bytes()).expect("taken");
        bed.send(1, 0, &number.to_le_bytes()).expect("taken");
        bed.pass(50_000);
    }
    bed.until("all there", |bed| bed.peers.iter().all(|f| f.endpoint.connections().len() == 2));
    assert_eq!((bed.peers[1].came(0), bed.peers[0].came(1)), (numbered(0..100), numbered(0..100)));
    assert!((0..2).all(|of| bed.peers[of].endpoint.connections().counters(1 - of as u16).established == 1));
}

#[test]
fn a_link_300_ms_late_stands_and_its_round_trip_is_measured() {
    let mut bed = Bed::new(2);
    bed.relays[1].faults = Faults { late: 300_000, ..Faults::default() };
    bed.send(0, 1, b"late").expect("taken");
    let up = bed.pass_until(3 * S, "it comes", |bed| !bed.peers[1].came(0).is_empty());
    assert!((900_000..1_200_000).contains(&up), "handshake there and back, then the frame: {up}");
    bed.pass(10 * S);
    for (of, other) in [(0, 1), (1, 0)] {
        let (trip, age) = bed.peers[of].endpoint.connections().rtt(other, bed.now).expect("measured");
        assert!((600_000..800_000).contains(&trip) && age <= 2 * S, "{trip} {age}");
        assert_eq!(bed.peers[of].endpoint.connections().counters(other).stalled, 0);
    }
}

#[test]
fn a_cut_a_stall_and_a_peer_that_cannot_be_reached_are_told_apart() {
    for way in [0, 1] {
        let mut bed = Bed::new(2);
        bed.send(0, 1, b"up").expect("taken");
        bed.until("up", |bed| !bed.peers[1].came(0).is_empty());
        bed.relays[1].cut();
        bed.until("told", |bed| bed.peers.iter().all(|f| f.endpoint.connections().is_empty()));
        assert_eq!(bed.peers[0].saw(&ConnectionEvent::Down(1)), 1);
        bed.pass(S);
        bed.send(0, 1, b"up").expect("taken");
        bed.until("up", |bed| bed.peers[1].came(0).len() == 2);
        bed.pass(3 * S);
        bed.relays[1].faults.stalled[way] = true;
        let told = bed.pass_until(6 * S, "told", |bed| bed.peers[0].saw(&ConnectionEvent::Down(1)) == 2);
        assert!((3 * S..=5 * S).contains(&told), "{told}");
        assert_eq!(bed.peers[0].endpoint.connections().rtt(1, bed.now), None, "no link, no figure");
        bed.pass(2 * S);
        for of in 0..2 {
            let counts = bed.peers[of].endpoint.connections().counters(1 - of as u16);
            assert_eq!(
                (counts.disconnected, counts.stalled, counts.connect_failed),
                (1, 1, 0),
                "way {way} of {of}"
            );
        }
        // What waits for it is told to be lost, and attempts grow rare.
        bed.relays[1].faults.stalled = [true; 2];
        for _ in 0..6 {
            bed.send(0, 1, b"waits").expect("taken");
            bed.pass(10 * S);
        }
        let counts = bed.peers[0].endpoint.connections().counters(1);
        assert!(counts.queue_discards == 6 && (1..=12).contains(&counts.connect_failed), "{counts:?}");
        assert_eq!(bed.peers[0].saw(&ConnectionEvent::Down(1)), 8);
        bed.relays[1].cut();
        bed.relays[1].faults = Faults::default();
        bed.send(0, 1, b"healed").expect("taken");
        bed.pass_until(6 * S, "healed", |bed| bed.peers[1].came(0).last().is_some_and(|f| f == b"healed"));
    }
}

#[test]
fn a_throttled_link_carries_all_and_is_not_taken_for_a_stalled_one() {
    let mut bed = Bed::with(2, |config| config.connections.timeouts.pong_timeout = 120 * S);
    bed.send(0, 1, b"up").expect("taken");
    bed.until("up", |bed| bed.peers[1].came(0).len() == 1);
    bed.relays[1].faults.rate = Some(50_000);
    // 40 s of it.
    let mut taken = 0;
    while taken < 500 {
        taken += usize::from(bed.send(0, 1, &[1; 4_000]).is_ok());
        bed.pass(20_000);
    }
    let slow = bed.peers[0].endpoint.connections().rtt(1, bed.now).expect("it stands").0;
    assert!(slow > 5 * S, "its round trip shows what waits: {slow}");
    bed.pass_until(60 * S, "all there", |bed| bed.peers[1].came(0).len() == taken + 1);
    let counts = bed.peers[0].endpoint.connections().counters(1);
    assert_eq!((counts.established, counts.stalled, counts.disconnected), (1, 0, 0));
}

#[test]
fn attempts_where_nobody_listens_grow_rare() {
    let mut bed = Bed::new(2);
    let (now, zero) = (bed.now, &mut bed.peers[0]);
    let nobody = zero.config.connections.peers.clone();
    zero.endpoint.update_peers(&mut zero.io, now, (&zero.config.transport, nobody)).expect("good");
    for _ in 0..60 {
        bed.send(0, 1, b"to nobody").expect("taken");
        bed.pass(S);
    }
    let attempts = bed.peers[0].endpoint.connections().counters(1).connect_failed;
    assert!((10..=25).contains(&attempts), "{attempts} in a minute");
}

#[test]
fn a_round_trip_is_never_told_shorter_than_what_is_waited_for_now() {
    let mut bed = Bed::new(2);
    bed.send(0, 1, b"up").expect("taken");
    bed.pass(2 * S);
    bed.relays[1].faults.late = 2 * S;
    bed.pass(2 * S + 500_000);
    let (trip, _) = bed.peers[0].endpoint.connections().rtt(1, bed.now).expect("measured");
    assert!(trip >= S, "{trip}");
}

#[test]
fn one_that_stood_still_doubts_itself_before_its_links() {
    // The others wait for it.
    let mut bed = Bed::with(3, |config| {
        if config.transport.own == 0 {
            return;
        }
        let times = &mut config.connections.timeouts;
        (times.receive_timeout, times.pong_timeout, times.idle_timeout) = (60 * S, 60 * S, 60 * S);
    });
    bed.send(0, 1, b"up").expect("taken");
    bed.send(2, 0, b"up").expect("taken");
    // Late enough that an answer is under way whenever it stops.
    bed.relays.iter_mut().for_each(|relay| relay.faults.late = 450_000);
    bed.pass(4 * S);
    bed.peers[0].still = true;
    bed.pass(20 * S);
    bed.peers[0].still = false;
    bed.pass(S);
    for of in [1, 2] {
        let links = bed.peers[0].endpoint.connections();
        let (trip, _) = links.rtt(of, bed.now).expect("measured");
        assert!(trip < 2 * S, "{of}: {trip} with its own 20 s in it");
        assert_eq!((links.counters(of).established, links.counters(of).stalled), (1, 0));
    }
}

#[test]
fn one_that_stood_still_is_ended_and_is_well_again() {
    let mut bed = Bed::new(3);
    bed.send(0, 1, b"up").expect("taken");
    bed.send(2, 0, b"up").expect("taken");
    bed.pass(2 * S);
    bed.peers[0].still = true;
    bed.pass(3 * S);
    bed.send(2, 0, b"while it stands still").expect("taken");
    bed.pass(17 * S);
    assert_eq!(bed.peers[1].endpoint.connections().counters(0).stalled, 1);
    assert_eq!(bed.peers[1].saw(&ConnectionEvent::Down(0)), 1);
    bed.peers[0].still = false;
    bed.pass(S);
    assert_eq!(bed.peers[0].came(2).len(), 2, "what came before is read, however late");
    for (from, to) in [(0, 1), (1, 0), (2, 0), (0, 2)] {
        bed.send(from, to, b"well again").expect("taken");
    }
    bed.pass_until(6 * S, "all hear one another", |bed| {
        [(0, 1), (1, 0), (2, 0), (0, 2)].iter().all(|(from, to): &(u16, usize)| {
            bed.peers[*to].came(*from).last().is_some_and(|frame| frame == b"well again")
        })
    });
}

#[test]
fn a_later_life_takes_the_place_of_an_earlier_one() {
    // The connection of the earlier life is one that it made, or one that was made to it.
    for (from, to) in [(0, 1), (1, 0)] {
        let mut bed = Bed::new(2);
        bed.send(from, to, b"first").expect("taken");
        let both = |bed: &Bed| {
            bed.peers
                .iter()
                .all(|f| f.endpoint.connections().connected_start_ms(1 - f.config.transport.own).is_some())
        };
        bed.until("up", |bed| both(bed));
        // Its end is not heard.
        bed.relays.iter_mut().for_each(crate::relay::Relay::freeze);
        let earlier = bed.peers[0].endpoint.start_ms();
        bed.restart(0);
        let later = bed.peers[0].endpoint.start_ms();
        bed.send(0, 1, b"second").expect("taken");
        bed.until("the later one", |bed| bed.peers[1].came(0).last().is_some_and(|f| f == b"second"));
        let seen = bed.peers[1].events.iter().filter(|event| {
            matches!(event, EndpointEvent::Connection(ConnectionEvent::Up(..) | ConnectionEvent::Down(_)))
        });
        let told = [ConnectionEvent::Up(0, earlier), ConnectionEvent::Down(0), ConnectionEvent::Up(0, later)];
        assert!(later > earlier && seen.eq(told.map(EndpointEvent::Connection).iter()), "made by {from}");
    }
}

#[test]
fn what_waits_for_a_life_is_not_given_to_the_next() {
    let mut bed = Bed::new(2);
    bed.send(1, 0, b"first").expect("taken");
    bed.until("up", |bed| bed.peers[0].came(1).len() == 1);
    bed.restart(0);
    bed.until("its end is told", |bed| bed.peers[1].saw(&ConnectionEvent::Down(0)) == 1);
    bed.send(1, 0, b"for the life that was").expect("taken");
    let life = bed.peers[0].endpoint.start_ms();
    bed.pass_until(4 * S, "up again", |bed| bed.peers[1].saw(&ConnectionEvent::Up(0, life)) == 1);
    bed.send(1, 0, b"for the life that is").expect("taken");
    bed.until("there", |bed| !bed.peers[0].came(1).is_empty());
    assert_eq!(bed.peers[0].came(1), [b"for the life that is"]);
    assert_eq!(bed.peers[1].saw(&ConnectionEvent::Down(0)), 2);
}

#[test]
fn view_facts_and_agreement_come_with_it() {
    let mut bed = Bed::new(3);
    let up = |bed: &Bed| bed.peers.iter().all(|f| f.endpoint.membership().live_count() == 3);
    bed.pass_until(20 * S, "all see all", up);
    let now = bed.now;
    assert!(bed.peers[1].endpoint.publish_fact(now, basaltward_membership::SHED_KEYS.start, b"load", 20 * S));
    bed.pass_until(10 * S, "told", |bed| {
        bed.peers[2].endpoint.fact(bed.now, 1, basaltward_membership::SHED_KEYS.start) == Some(b"load")
    });
    let known = |bed: &Bed| bed.peers.iter().all(|f| f.endpoint.permit_state().is_some());
    bed.pass_until(60 * S, "a leader", known);
    let tag = bed.peers[1]
        .endpoint
        .submit(bed.now, PermitRequest::Check(Subject::Scheduler(2)))
        .expect("a part in it");
    let answered = |bed: &Bed| {
        bed.peers[1].events.iter().any(
            |event| matches!(event, EndpointEvent::Transport(Event::Answered { tag: of, .. }) if *of == tag),
        )
    };
    bed.pass_until(10 * S, "answered", answered);
    let (now, last) = (bed.now, &mut bed.peers[2]);
    last.endpoint.stop(&mut last.io, now);
    bed.pass_until(10 * S, "its end is known", |bed| {
        bed.peers[..2].iter().all(|f| f.endpoint.membership().members()[2].state == MemberState::Stopped)
    });
}
