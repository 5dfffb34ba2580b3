//! What a bulletin may do wrong, and what its follower makes of it.
use basaltward_bulletin::*;
use bytes::BytesMut;
use std::net::SocketAddr;

const S: u64 = 1_000_000;
const LIMITS: FollowerLimits = FollowerLimits {
    max_line: 4_096,
    silence_timeout: 2 * S,
    connect_timeout: S / 2,
    reconnect_delays: (S / 50, S / 2),
};

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn event(no: u64) -> String {
    format!(
        r#"{{"no":{no},"roster":{{"rev":{no},"all":false,"targets":[{{"uid":"s-{no}","endpoint":"127.0.0.9:1","az":"east","model":"std","pod_group":2,"state":"Ready","capacity_hint":4,"boot_ms":0}}]}}}}"#
    ) + "\n"
}

struct Bed {
    follower: Follower,
    now: u64,
    /// Connections asked for and not closed, with their address.
    open: Vec<(FeedId, SocketAddr)>,
    asked: Vec<String>,
    told: Vec<String>,
    faults: Vec<String>,
    inputs: Vec<(FeedId, BytesMut)>,
}

impl Bed {
    fn new(last: u64) -> Self {
        Self::with_limits(LIMITS, last)
    }

    fn with_limits(limits: FollowerLimits, last: u64) -> Self {
        let follower = Follower::new(limits, address(1), last);
        let (open, asked, told, faults, inputs) = (vec![], vec![], vec![], vec![], vec![]);
        let mut bed = Self { follower, now: S, open, asked, told, faults, inputs };
        bed.advance(0);
        bed
    }

    fn with(&mut self, act: impl FnOnce(&mut Follower, u64, &mut Vec<Step>)) {
        let mut steps = Vec::new();
        act(&mut self.follower, self.now, &mut steps);
        for step in steps {
            match step {
                Step::Connect(id, to) => self.open.push((id, to)),
                Step::Write(_, text) => self.asked.push(text),
                Step::Close(id) => self.open.retain(|(open, _)| *open != id),
                Step::Roster(roster) => self.told.extend(roster.targets.into_iter().map(|t| t.uid)),
                Step::Abandoned(_, why) => self.faults.extend(why.map(|w| w.to_string())),
            }
        }
    }

    fn advance(&mut self, by: u64) {
        let until = self.now + by;
        while let Some(due) = self.follower.next_due().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.with(|f, now, out| f.wake(now, out));
        }
        self.now = until;
    }

    fn stand(&mut self) -> FeedId {
        let (id, _) = *self.open.last().expect("a connection was asked for");
        self.with(|f, now, out| f.connected(now, id, out));
        id
    }

    fn says(&mut self, id: FeedId, text: &str) {
        let at = self.inputs.iter().position(|(i, _)| *i == id).unwrap_or_else(|| {
            self.inputs.push((id, BytesMut::new()));
            self.inputs.len() - 1
        });
        let mut input = std::mem::take(&mut self.inputs[at].1);
        input.extend_from_slice(text.as_bytes());
        self.with(|f, now, out| f.read_lines(now, id, &mut input, out));
        self.inputs[at].1 = input;
    }

    /// A configuration names the bulletin at this port.
    fn moves(&mut self, port: u16) {
        self.with(|f, now, out| f.switch_to(now, address(port), out));
        self.advance(0);
    }

    fn breaks(&mut self, id: FeedId) {
        self.open.retain(|(open, _)| *open != id);
        self.with(|f, now, out| f.ended(now, id, out));
    }
}

#[test]
fn events_told_twice_or_cut_change_nothing_and_the_rest_is_asked_for_at_once() {
    let mut bed = Bed::new(3);
    let feed = bed.stand();
    assert_eq!(bed.asked, ["after 3\n"]);
    bed.says(feed, &(event(4) + &event(4) + &event(2) + "{\"no\":4}\n4\n" + &event(5)));
    assert_eq!(bed.told, ["s-4", "s-5"]);
    bed.says(feed, &event(6)[..40]);
    bed.breaks(feed);
    bed.advance(0);
    let next = bed.stand();
    assert_eq!((next != feed, bed.asked.last().unwrap().as_str()), (true, "after 5\n"));
    bed.says(next, &event(6));
    assert_eq!(bed.told, ["s-4", "s-5", "s-6"]);
    assert!(bed.faults.is_empty());
}

#[test]
fn gaps_lines_without_sense_and_lines_without_end_are_left_and_asked_again() {
    for (said, fault) in [
        (event(9), "event 9 after 3"),
        ("7\n".into(), "event 7 after 3"),
        ("{\"no\":4}\n".into(), "event 4 after 3"),
        ("{\"no\":4,\"ros\n".into(), "line can't be read"),
        ("x".repeat(5_000), "a line without end"),
    ] {
        let mut bed = Bed::new(3);
        let feed = bed.stand();
        bed.says(feed, "3\n");
        bed.says(feed, &said);
        assert!(bed.faults[0].starts_with(fault), "{:?}", bed.faults);
        bed.advance(0);
        bed.stand();
        assert_eq!((bed.open.len(), bed.asked.len(), bed.follower.last_event()), (1, 2, 3));
    }
}

#[test]
fn silence_is_left_within_its_bound_and_failures_back_off() {
    let mut bed = Bed::new(1);
    let feed = bed.stand();
    bed.says(feed, "1\n");
    bed.advance(2 * S - 1);
    assert_eq!(bed.open, [(feed, address(1))]);
    bed.advance(1);
    assert_ne!(bed.open, [(feed, address(1))]);
    // Refused at once each time: no more connections than the back-off allows, and at least one in a second.
    let mut tries = 0;
    for _ in 0..200 {
        if let Some((id, _)) = bed.open.pop() {
            tries += 1;
            bed.breaks(id);
        }
        bed.advance(S / 20);
    }
    assert!((15..=30).contains(&tries), "{tries}");
}

#[test]
fn a_new_address_is_followed_beside_the_old_one_until_it_speaks() {
    let mut bed = Bed::new(1);
    let old = bed.stand();
    bed.says(old, &event(2));
    bed.moves(2);
    bed.moves(2);
    assert_eq!(addresses(&bed), [address(1), address(2)]);
    bed.says(old, &event(3));
    let new = bed.stand();
    assert_eq!(bed.asked.last().unwrap(), "after 3\n");
    bed.says(new, &(event(3) + &event(4)));
    assert_eq!((&bed.open[..], bed.told.len()), (&[(new, address(2))][..], 3));
    // The old one's end is no matter any more.
    bed.breaks(old);
    bed.advance(S);
    assert_eq!(bed.open, [(new, address(2))]);
}

#[test]
fn mutated_lines_never_panic_and_never_go_back() {
    let mut state = 3u64;
    let mut draw = |below: usize| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % below.max(1)
    };
    let good: String = (2..8).map(event).collect::<String>() + "7\n";
    for _ in 0..2_000 {
        let mut bytes = good.clone().into_bytes();
        for _ in 0..draw(3) {
            let at = draw(bytes.len());
            bytes[at] = draw(256) as u8;
        }
        let cut = draw(bytes.len());
        let run = |pieces: &[&[u8]]| {
            let mut bed = Bed::new(1);
            let feed = bed.stand();
            let mut input = BytesMut::new();
            for piece in pieces {
                input.extend_from_slice(piece);
                bed.with(|f, now, out| f.read_lines(now, feed, &mut input, out));
            }
            (bed.told.clone(), bed.follower.last_event(), bed.faults)
        };
        assert_eq!(run(&[&bytes]), run(&[&bytes[..cut], &bytes[cut..]]));
    }
}

/// Addresses of the connections that stand.
fn addresses(bed: &Bed) -> Vec<SocketAddr> {
    bed.open.iter().map(|(_, to)| *to).collect()
}

#[test]
fn moved_there_and_back_before_the_new_one_spoke_ends_with_one_connection() {
    for old_stands in [true, false] {
        let mut bed = Bed::new(1);
        let old = bed.stand();
        bed.says(old, &event(2));
        bed.moves(2);
        bed.stand();
        bed.moves(1);
        let again = bed.stand();
        assert_ne!(again, old);
        // The one that goes back is asked anew, and the old connection is kept until that is told something.
        assert_eq!(addresses(&bed), [address(1), address(1)]);
        bed.says(old, &event(3));
        assert_eq!(addresses(&bed), [address(1), address(1)]);
        if old_stands {
            bed.says(again, &(event(3) + &event(4)));
        } else {
            bed.breaks(old);
            bed.says(again, &event(3));
            bed.says(again, &event(4));
        }
        assert_eq!((&bed.open[..], bed.told.len()), (&[(again, address(1))][..], 3));
        // Nothing is left that begins a second one.
        bed.says(again, "4\n");
        assert_eq!(bed.open, [(again, address(1))]);
        bed.advance(S);
        bed.says(again, "4\n");
        bed.advance(S);
        assert_eq!(bed.open, [(again, address(1))]);
    }
}

#[test]
fn back_at_an_address_that_refuses_the_connection_that_stands_there_goes_on() {
    let mut bed = Bed::new(1);
    let old = bed.stand();
    bed.says(old, "1\n");
    bed.moves(2);
    bed.moves(1);
    let again = bed.open.last().expect("begun").0;
    bed.breaks(again);
    bed.says(old, &event(2));
    bed.advance(S);
    assert_eq!((&bed.open[..], bed.told.len()), (&[(old, address(1))][..], 1));
    bed.breaks(old);
    bed.advance(0);
    bed.stand();
    assert_eq!(bed.asked.last().unwrap(), "after 2\n");
}

#[test]
fn moved_often_no_more_than_two_connections_stand_and_the_last_address_is_asked() {
    let mut bed = Bed::new(1);
    let old = bed.stand();
    bed.says(old, "1\n");
    for to in [2, 3, 2, 1, 4, 1, 3, 2, 5] {
        bed.moves(to);
        bed.stand();
        let open = addresses(&bed);
        assert!(open.len() <= 2 && open[0] == address(1) && open.last() == Some(&address(to)), "{open:?}");
    }
    let new = bed.open[1].0;
    bed.says(new, &event(2));
    assert_eq!(bed.open, [(new, address(5))]);
}

/// Moves, connections that stand, speak, err, break or fall silent, in every order that a draw gives: at any moment
/// there is a connection to the last address or a time for the next, and two connections at most.
#[test]
fn in_every_order_of_moves_and_ends_the_last_address_is_followed() {
    let mut state = 7u64;
    let mut draw = |below: usize| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % below
    };
    for _ in 0..500 {
        let (mut bed, mut at) = (Bed::new(1), 1);
        let mut history = Vec::new();
        for _ in 0..60 {
            let act = draw(8);
            let feed = (!bed.open.is_empty()).then(|| bed.open[draw(bed.open.len())].0);
            history.push((act, feed));
            let next = bed.follower.last_event() + 1;
            match (act, feed) {
                (0, _) => {
                    at = draw(3) as u16 + 1;
                    bed.moves(at);
                }
                (1 | 2, Some(feed)) => bed.with(|f, now, out| f.connected(now, feed, out)),
                (3, Some(feed)) => bed.says(feed, &event(next)),
                (4, Some(feed)) => bed.says(feed, &event(next + 3)),
                (5, Some(feed)) => bed.says(feed, &format!("{}\n", next - 1)),
                (6, Some(feed)) => bed.breaks(feed),
                _ => bed.advance([S / 100, S / 2, 3 * S][draw(3)]),
            }
            let open = addresses(&bed);
            let due = bed.follower.next_due().is_some_and(|due| due <= bed.now + 2 * S);
            assert!(open.len() <= 2 && due, "{open:?} {history:?}");
        }
        // Whatever came before: the last address is asked within a second, and once it answers it is followed alone.
        let waited = (0..10).find(|_| {
            bed.advance(S / 10);
            addresses(&bed).last() == Some(&address(at))
        });
        assert!(waited.is_some(), "{history:?}");
        let feed = bed.stand();
        let last = bed.follower.last_event();
        bed.says(feed, &event(last + 1));
        assert_eq!(
            (&bed.open[..], bed.follower.last_event()),
            (&[(feed, address(at))][..], last + 1),
            "{history:?}"
        );
    }
}

/// Connections that a bulletin is asked on within 10 s, where each does what this does.
fn asked_in_ten_seconds(mut act: impl FnMut(&mut Bed, FeedId)) -> usize {
    let mut bed = Bed::new(3);
    let (until, mut tries) = (bed.now + 10 * S, 0);
    while bed.now < until && tries < 10_000 {
        if bed.open.is_empty() {
            let due = bed.follower.next_due().expect("it is asked again");
            bed.advance(due.saturating_sub(bed.now));
            continue;
        }
        let feed = bed.stand();
        tries += 1;
        act(&mut bed, feed);
    }
    tries
}

#[test]
fn one_that_speaks_and_breaks_each_time_is_asked_again_with_ever_longer_waits() {
    let told_and_broken = |said: &'static str| {
        move |bed: &mut Bed, feed: FeedId| {
            bed.says(feed, said);
            bed.breaks(feed);
        }
    };
    // The last number alone; an event that is held; a number ahead after one that can be read; nothing at all.
    for said in ["3\n", "{\"no\":2,\"roster\":{\"targets\":[]}}\n", "3\n9\n", "3\nx\n", ""] {
        let tries = asked_in_ten_seconds(told_and_broken(said));
        assert!((15..=30).contains(&tries), "{said:?}: {tries}");
    }
}

#[test]
fn one_that_brings_an_event_before_each_break_or_stood_for_long_is_asked_at_once() {
    let mut bed = Bed::new(3);
    for no in 4..20 {
        let feed = bed.stand();
        bed.says(feed, &(event(no) + &event(no + 1)[..30]));
        bed.breaks(feed);
        bed.advance(0);
        assert_eq!(bed.open.len(), 1, "after event {no}");
    }
    for _ in 0..5 {
        let feed = bed.stand();
        bed.says(feed, "19\n");
        bed.advance(S);
        bed.says(feed, "19\n");
        bed.breaks(feed);
        bed.advance(0);
        assert_eq!(bed.open.len(), 1, "after a second that it stood");
    }
}

#[test]
fn a_late_answer_of_the_old_one_and_its_last_words_change_nothing() {
    let mut bed = Bed::new(3);
    let old = bed.stand();
    bed.says(old, &event(4));
    bed.moves(2);
    // The old one tells once more before the new one speaks; the new one was asked after 4.
    let new = bed.stand();
    bed.says(old, &event(5));
    bed.says(new, &(event(5) + &event(6)));
    assert_eq!(bed.told, ["s-4", "s-5", "s-6"]);
    // Whatever the old one tells now: not one line of it is read.
    for late in [event(7), event(5), event(12), "{\"no\":9}\n".into(), "x\n".into()] {
        bed.says(old, &late);
    }
    bed.breaks(old);
    bed.advance(0);
    assert_eq!((bed.told.len(), &bed.open[..], bed.faults.len()), (3, &[(new, address(2))][..], 0));
    bed.says(new, &event(7));
    assert_eq!(bed.told.last().unwrap(), "s-7");
}

#[test]
fn an_old_one_ahead_of_the_list_is_left_and_the_new_one_is_followed() {
    let mut bed = Bed::new(3);
    let old = bed.stand();
    bed.says(old, "3\n");
    bed.moves(2);
    bed.says(old, &event(5));
    assert_eq!(
        (addresses(&bed), bed.faults.as_slice()),
        (vec![address(2)], &["event 5 after 3".to_owned()][..])
    );
    let new = bed.stand();
    bed.says(new, &(event(4) + &event(5)));
    bed.advance(0);
    assert_eq!((bed.told.len(), addresses(&bed)), (2, vec![address(2)]));
}

#[test]
fn lower_numbers_than_held_change_nothing_and_the_list_goes_on_where_they_meet_it() {
    let mut bed = Bed::new(3);
    let feed = bed.stand();
    bed.says(feed, &(event(1) + &event(2) + "{\"no\":2}\n1\n" + &event(3) + "0\n"));
    assert_eq!((bed.told.len(), bed.follower.last_event(), bed.faults.len()), (0, 3, 0));
    bed.says(feed, &event(4));
    assert_eq!((bed.told.as_slice(), bed.open.len()), (&["s-4".to_owned()][..], 1));
}

#[test]
fn a_line_may_be_as_long_as_the_bound_and_no_longer() {
    let line = |length: usize| {
        let mut text = event(4);
        text.insert_str(text.len() - 2, &" ".repeat(length - text.len()));
        text
    };
    for pieces in [1, 7] {
        for (length, taken) in
            [(LIMITS.max_line - 1, true), (LIMITS.max_line, true), (LIMITS.max_line + 1, false)]
        {
            let mut bed = Bed::new(3);
            let feed = bed.stand();
            let text = line(length);
            for piece in text.as_bytes().chunks(length.div_ceil(pieces)) {
                bed.says(feed, std::str::from_utf8(piece).unwrap());
            }
            assert_eq!(
                (bed.told.len(), bed.faults.is_empty()),
                (usize::from(taken), taken),
                "{length} {pieces}"
            );
        }
    }
}

#[test]
fn one_that_has_said_nothing_yet_is_followed_until_the_new_one_speaks() {
    let mut bed = Bed::new(1);
    let old = bed.stand();
    bed.moves(2);
    let new = bed.stand();
    bed.says(old, &event(2));
    assert_eq!((bed.told.len(), addresses(&bed)), (1, vec![address(1), address(2)]));
    bed.says(new, "1\n");
    assert_eq!(addresses(&bed), [address(2)]);
}

#[test]
fn a_connection_that_takes_as_long_as_the_settings_allow_is_waited_for() {
    let limits = FollowerLimits::with_connect_timeout;
    for (told, takes, stands) in [
        (S + S / 5, S, true),
        (S + S / 5, S + S / 4, false),
        // Nothing told, and less than is usual; more than there is time for.
        (0, 2 * S / 5, true),
        (S / 4, 2 * S / 5, true),
        (S / 4, 3 * S / 5, false),
        (30 * S, 7 * S / 5, true),
        (30 * S, 8 * S / 5, false),
    ] {
        let mut bed = Bed::with_limits(limits(told), 1);
        let first = bed.open[0].0;
        bed.advance(takes);
        bed.with(|f, now, out| f.connected(now, first, out));
        assert_eq!(bed.asked.len(), usize::from(stands), "{told} {takes}");
        // Whatever is told: a silent one is left and the next one had its whole time within 4 s of its last line.
        assert!(limits(told).silence_timeout + limits(told).connect_timeout < 4 * S);
    }
}

impl Bed {
    /// A number alone: nothing is missing up to it.
    fn tells(&mut self, id: FeedId, no: u64) {
        let now = self.now;
        self.follower.input_drained(now);
        self.says(id, &format!("{no}\n"));
    }

    fn freshness(&self) -> Freshness {
        self.follower.freshness(self.now)
    }
}

fn broken(told_at: u64) -> Freshness {
    Freshness::Interrupted { delivered_by: told_at, why: Interruption::Broken }
}

fn silent(told_at: u64) -> Freshness {
    Freshness::Interrupted { delivered_by: told_at, why: Interruption::Silent }
}

#[test]
fn the_list_is_as_old_as_the_last_line_that_showed_nothing_missing() {
    let mut bed = Bed::new(3);
    let feed = bed.stand();
    assert_eq!(bed.freshness(), Freshness::Unconfirmed);
    // An event, a number passed before and a connection show nothing.
    bed.says(feed, &(event(4) + "3\n"));
    assert_eq!(bed.freshness(), Freshness::Unconfirmed);
    bed.tells(feed, 4);
    let confirmed = bed.now;
    assert_eq!(bed.freshness(), Freshness::Current { delivered_by: confirmed + 4 * S });
    bed.advance(S + S / 2);
    assert_eq!(bed.freshness(), silent(confirmed + 4 * S));
    bed.tells(feed, 4);
    assert_eq!(bed.freshness(), Freshness::Current { delivered_by: bed.now + 4 * S });
}

#[test]
fn a_break_runs_its_own_clock_and_connections_that_say_nothing_restart_none() {
    let mut bed = Bed::new(3);
    let feed = bed.stand();
    bed.tells(feed, 3);
    bed.advance(S / 2);
    bed.follower.input_drained(bed.now);
    let broke = bed.now;
    bed.breaks(feed);
    assert_eq!(bed.freshness(), broken(broke + 2 * S));
    for _ in 0..3 {
        // It comes up for 0.3 s in every 3 s: says nothing, an old event, an old number.
        bed.advance(3 * S);
        let feed = bed.stand();
        bed.says(feed, &(event(2) + "{\"no\":2}\n"));
        bed.advance(S * 3 / 10);
        bed.follower.input_drained(bed.now);
        bed.breaks(feed);
        assert_eq!(bed.freshness(), broken(broke + 2 * S));
    }
    bed.advance(S);
    let feed = bed.stand();
    bed.tells(feed, 3);
    assert!(matches!(bed.freshness(), Freshness::Current { .. }));
}

#[test]
fn a_break_behind_a_silence_waits_for_no_longer_than_the_silence() {
    let mut bed = Bed::new(3);
    let feed = bed.stand();
    bed.tells(feed, 3);
    let confirmed = bed.now;
    bed.advance(S * 19 / 10);
    bed.advance(S / 20);
    bed.follower.input_drained(bed.now);
    bed.breaks(feed);
    assert_eq!(bed.freshness(), broken((confirmed + 4 * S).min(bed.now + 2 * S)));
    bed.advance(10 * S);
    assert!(
        matches!(bed.freshness(), Freshness::Interrupted { delivered_by: told_at, .. } if told_at <= confirmed + 4 * S)
    );
}

#[test]
fn a_line_counts_as_of_when_nothing_waited_and_not_as_of_when_it_is_read() {
    let mut bed = Bed::new(3);
    let feed = bed.stand();
    bed.tells(feed, 3);
    let before = bed.now;
    // The process stands still with the line in its socket.
    bed.now += 5 * S;
    bed.says(feed, "3\n");
    assert_eq!(bed.freshness(), silent(before + 4 * S));
}

#[test]
fn after_a_move_only_the_new_bulletin_shows_that_nothing_is_missing() {
    let mut bed = Bed::new(3);
    let old = bed.stand();
    bed.tells(old, 3);
    let confirmed = bed.now;
    bed.moves(2);
    bed.advance(S / 4);
    bed.tells(old, 3);
    // Its planned end is no break of the list.
    bed.breaks(old);
    assert_eq!(bed.freshness(), Freshness::Current { delivered_by: confirmed + 4 * S });
    let new = bed.stand();
    bed.says(new, &event(4));
    assert_eq!(bed.freshness(), Freshness::Current { delivered_by: confirmed + 4 * S });
    bed.tells(new, 4);
    assert_eq!(bed.freshness(), Freshness::Current { delivered_by: bed.now + 4 * S });
}
