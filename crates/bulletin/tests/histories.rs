//! Faults of a bulletin and its connections, and the follower's reaction to them.
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

struct Harness {
    follower: Follower,
    now: u64,
    /// Connections that the follower opened and has not closed, with their addresses.
    open: Vec<(FeedId, SocketAddr)>,
    requests: Vec<String>,
    received: Vec<String>,
    errors: Vec<String>,
    inputs: Vec<(FeedId, BytesMut)>,
}

impl Harness {
    fn new(last: u64) -> Self {
        Self::with_limits(LIMITS, last)
    }

    fn with_limits(limits: FollowerLimits, last: u64) -> Self {
        let follower = Follower::new(limits, address(1), last);
        let (open, requests, received, errors, inputs) = (vec![], vec![], vec![], vec![], vec![]);
        let mut harness = Self { follower, now: S, open, requests, received, errors, inputs };
        harness.advance(0);
        harness
    }

    fn with(&mut self, act: impl FnOnce(&mut Follower, u64, &mut Vec<Step>)) {
        let mut steps = Vec::new();
        act(&mut self.follower, self.now, &mut steps);
        for step in steps {
            match step {
                Step::Connect(id, to) => self.open.push((id, to)),
                Step::Write(_, text) => self.requests.push(text),
                Step::Close(id) => self.open.retain(|(open, _)| *open != id),
                Step::Roster(roster) => self.received.extend(roster.targets.into_iter().map(|t| t.uid)),
                Step::Abandoned(_, why) => self.errors.extend(why.map(|w| w.to_string())),
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

    fn connect(&mut self) -> FeedId {
        let (id, _) = *self.open.last().expect("a connection was opened");
        self.with(|f, now, out| f.connected(now, id, out));
        id
    }

    fn send(&mut self, id: FeedId, text: &str) {
        let at = self.inputs.iter().position(|(i, _)| *i == id).unwrap_or_else(|| {
            self.inputs.push((id, BytesMut::new()));
            self.inputs.len() - 1
        });
        let mut input = std::mem::take(&mut self.inputs[at].1);
        input.extend_from_slice(text.as_bytes());
        self.with(|f, now, out| f.read_lines(now, id, &mut input, out));
        self.inputs[at].1 = input;
    }

    /// Switches to the bulletin at this port.
    fn switch_to(&mut self, port: u16) {
        self.with(|f, now, out| f.switch_to(now, address(port), out));
        self.advance(0);
    }

    fn break_off(&mut self, id: FeedId) {
        self.open.retain(|(open, _)| *open != id);
        self.with(|f, now, out| f.ended(now, id, out));
    }
}

#[test]
fn duplicate_and_truncated_events_are_ignored_and_the_rest_is_requested_at_once() {
    let mut harness = Harness::new(3);
    let feed = harness.connect();
    assert_eq!(harness.requests, ["after 3\n"]);
    harness.send(feed, &(event(4) + &event(4) + &event(2) + "{\"no\":4}\n4\n" + &event(5)));
    assert_eq!(harness.received, ["s-4", "s-5"]);
    harness.send(feed, &event(6)[..40]);
    harness.break_off(feed);
    harness.advance(0);
    let next = harness.connect();
    assert_eq!((next != feed, harness.requests.last().unwrap().as_str()), (true, "after 5\n"));
    harness.send(next, &event(6));
    assert_eq!(harness.received, ["s-4", "s-5", "s-6"]);
    assert!(harness.errors.is_empty());
}

#[test]
fn gaps_invalid_lines_and_overlong_lines_close_the_connection_and_reconnect() {
    for (input, error) in [
        (event(9), "events are missing: received number 9 after event 3"),
        ("7\n".into(), "events are missing: received number 7 after event 3"),
        ("{\"no\":4}\n".into(), "events are missing: received number 4 after event 3"),
        ("{\"no\":4,\"ros\n".into(), "line can't be parsed"),
        ("x".repeat(5_000), "line exceeds the length limit"),
    ] {
        let mut harness = Harness::new(3);
        let feed = harness.connect();
        harness.send(feed, "3\n");
        harness.send(feed, &input);
        assert!(harness.errors[0].starts_with(error), "{:?}", harness.errors);
        harness.advance(0);
        harness.connect();
        assert_eq!((harness.open.len(), harness.requests.len(), harness.follower.last_event()), (1, 2, 3));
    }
}

#[test]
fn a_silent_connection_is_closed_in_time_and_failures_back_off() {
    let mut harness = Harness::new(1);
    let feed = harness.connect();
    harness.send(feed, "1\n");
    harness.advance(2 * S - 1);
    assert_eq!(harness.open, [(feed, address(1))]);
    harness.advance(1);
    assert_ne!(harness.open, [(feed, address(1))]);
    // Each attempt is refused at once: no more connections than the backoff allows, and at least one per second.
    let mut attempts = 0;
    for _ in 0..200 {
        if let Some((id, _)) = harness.open.pop() {
            attempts += 1;
            harness.break_off(id);
        }
        harness.advance(S / 20);
    }
    assert!((15..=30).contains(&attempts), "{attempts}");
}

#[test]
fn after_a_switch_the_old_bulletin_is_followed_until_the_new_one_sends_a_line() {
    let mut harness = Harness::new(1);
    let old = harness.connect();
    harness.send(old, &event(2));
    harness.switch_to(2);
    harness.switch_to(2);
    assert_eq!(addresses(&harness), [address(1), address(2)]);
    harness.send(old, &event(3));
    let new = harness.connect();
    assert_eq!(harness.requests.last().unwrap(), "after 3\n");
    harness.send(new, &(event(3) + &event(4)));
    assert_eq!((&harness.open[..], harness.received.len()), (&[(new, address(2))][..], 3));
    // The end of the old connection has no effect any more.
    harness.break_off(old);
    harness.advance(S);
    assert_eq!(harness.open, [(new, address(2))]);
}

#[test]
fn mutated_lines_never_panic_and_chunking_changes_nothing() {
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
            let mut harness = Harness::new(1);
            let feed = harness.connect();
            let mut input = BytesMut::new();
            for piece in pieces {
                input.extend_from_slice(piece);
                harness.with(|f, now, out| f.read_lines(now, feed, &mut input, out));
            }
            (harness.received.clone(), harness.follower.last_event(), harness.errors)
        };
        assert_eq!(run(&[&bytes]), run(&[&bytes[..cut], &bytes[cut..]]));
    }
}

/// Addresses of the open connections.
fn addresses(harness: &Harness) -> Vec<SocketAddr> {
    harness.open.iter().map(|(_, to)| *to).collect()
}

#[test]
fn switching_there_and_back_before_the_first_line_ends_with_one_connection() {
    for old_stays_open in [true, false] {
        let mut harness = Harness::new(1);
        let old = harness.connect();
        harness.send(old, &event(2));
        harness.switch_to(2);
        harness.connect();
        harness.switch_to(1);
        let again = harness.connect();
        assert_ne!(again, old);
        // The switch back opens a new connection, and the old one stays open until the new one delivers a line.
        assert_eq!(addresses(&harness), [address(1), address(1)]);
        harness.send(old, &event(3));
        assert_eq!(addresses(&harness), [address(1), address(1)]);
        if old_stays_open {
            harness.send(again, &(event(3) + &event(4)));
        } else {
            harness.break_off(old);
            harness.send(again, &event(3));
            harness.send(again, &event(4));
        }
        assert_eq!((&harness.open[..], harness.received.len()), (&[(again, address(1))][..], 3));
        // Nothing is scheduled that opens a second connection.
        harness.send(again, "4\n");
        assert_eq!(harness.open, [(again, address(1))]);
        harness.advance(S);
        harness.send(again, "4\n");
        harness.advance(S);
        assert_eq!(harness.open, [(again, address(1))]);
    }
}

#[test]
fn after_a_switch_back_that_is_refused_the_open_connection_stays_in_use() {
    let mut harness = Harness::new(1);
    let old = harness.connect();
    harness.send(old, "1\n");
    harness.switch_to(2);
    harness.switch_to(1);
    let again = harness.open.last().expect("opened").0;
    harness.break_off(again);
    harness.send(old, &event(2));
    harness.advance(S);
    assert_eq!((&harness.open[..], harness.received.len()), (&[(old, address(1))][..], 1));
    harness.break_off(old);
    harness.advance(0);
    harness.connect();
    assert_eq!(harness.requests.last().unwrap(), "after 2\n");
}

#[test]
fn repeated_switches_keep_two_connections_at_most_and_follow_the_last_address() {
    let mut harness = Harness::new(1);
    let old = harness.connect();
    harness.send(old, "1\n");
    for to in [2, 3, 2, 1, 4, 1, 3, 2, 5] {
        harness.switch_to(to);
        harness.connect();
        let open = addresses(&harness);
        assert!(open.len() <= 2 && open[0] == address(1) && open.last() == Some(&address(to)), "{open:?}");
    }
    let new = harness.open[1].0;
    harness.send(new, &event(2));
    assert_eq!(harness.open, [(new, address(5))]);
}

/// Random sequences of switches, established connections, valid and invalid lines, breaks and silence: at any moment a
/// connection to the current address exists or the next attempt is scheduled, and there are at most two connections.
#[test]
fn after_random_sequences_of_switches_and_ends_the_last_address_is_followed() {
    let mut state = 7u64;
    let mut draw = |below: usize| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % below
    };
    for _ in 0..500 {
        let (mut harness, mut at) = (Harness::new(1), 1);
        let mut history = Vec::new();
        for _ in 0..60 {
            let act = draw(8);
            let feed = (!harness.open.is_empty()).then(|| harness.open[draw(harness.open.len())].0);
            history.push((act, feed));
            let next = harness.follower.last_event() + 1;
            match (act, feed) {
                (0, _) => {
                    at = draw(3) as u16 + 1;
                    harness.switch_to(at);
                }
                (1 | 2, Some(feed)) => harness.with(|f, now, out| f.connected(now, feed, out)),
                (3, Some(feed)) => harness.send(feed, &event(next)),
                (4, Some(feed)) => harness.send(feed, &event(next + 3)),
                (5, Some(feed)) => harness.send(feed, &format!("{}\n", next - 1)),
                (6, Some(feed)) => harness.break_off(feed),
                _ => harness.advance([S / 100, S / 2, 3 * S][draw(3)]),
            }
            let open = addresses(&harness);
            let due = harness.follower.next_due().is_some_and(|due| due <= harness.now + 2 * S);
            assert!(open.len() <= 2 && due, "{open:?} {history:?}");
        }
        // After any sequence the current address is connected to within a second, and once it sends an event it is
        // the only connection.
        let waited = (0..10).find(|_| {
            harness.advance(S / 10);
            addresses(&harness).last() == Some(&address(at))
        });
        assert!(waited.is_some(), "{history:?}");
        let feed = harness.connect();
        let last = harness.follower.last_event();
        harness.send(feed, &event(last + 1));
        assert_eq!(
            (&harness.open[..], harness.follower.last_event()),
            (&[(feed, address(at))][..], last + 1),
            "{history:?}"
        );
    }
}

/// Number of connections within 10 s if `act` runs on each one.
fn connections_in_ten_seconds(mut act: impl FnMut(&mut Harness, FeedId)) -> usize {
    let mut harness = Harness::new(3);
    let (until, mut attempts) = (harness.now + 10 * S, 0);
    while harness.now < until && attempts < 10_000 {
        if harness.open.is_empty() {
            let due = harness.follower.next_due().expect("a reconnect is scheduled");
            harness.advance(due.saturating_sub(harness.now));
            continue;
        }
        let feed = harness.connect();
        attempts += 1;
        act(&mut harness, feed);
    }
    attempts
}

#[test]
fn a_connection_that_breaks_after_a_useless_line_is_reopened_with_backoff() {
    let send_and_break = |input: &'static str| {
        move |harness: &mut Harness, feed: FeedId| {
            harness.send(feed, input);
            harness.break_off(feed);
        }
    };
    // Only the last number; an event already applied; a valid number and then one too high or an invalid line; nothing.
    for input in ["3\n", "{\"no\":2,\"roster\":{\"targets\":[]}}\n", "3\n9\n", "3\nx\n", ""] {
        let attempts = connections_in_ten_seconds(send_and_break(input));
        assert!((15..=30).contains(&attempts), "{input:?}: {attempts}");
    }
}

#[test]
fn a_connection_that_delivered_an_event_or_lasted_long_is_reopened_at_once() {
    let mut harness = Harness::new(3);
    for no in 4..20 {
        let feed = harness.connect();
        harness.send(feed, &(event(no) + &event(no + 1)[..30]));
        harness.break_off(feed);
        harness.advance(0);
        assert_eq!(harness.open.len(), 1, "after event {no}");
    }
    for _ in 0..5 {
        let feed = harness.connect();
        harness.send(feed, "19\n");
        harness.advance(S);
        harness.send(feed, "19\n");
        harness.break_off(feed);
        harness.advance(0);
        assert_eq!(harness.open.len(), 1, "after a connection of one second");
    }
}

#[test]
fn late_lines_of_the_old_bulletin_change_nothing() {
    let mut harness = Harness::new(3);
    let old = harness.connect();
    harness.send(old, &event(4));
    harness.switch_to(2);
    // The old connection delivers one more event before the new one, which was sent "after 4", delivers any.
    let new = harness.connect();
    harness.send(old, &event(5));
    harness.send(new, &(event(5) + &event(6)));
    assert_eq!(harness.received, ["s-4", "s-5", "s-6"]);
    // No further line of the old connection is read.
    for late in [event(7), event(5), event(12), "{\"no\":9}\n".into(), "x\n".into()] {
        harness.send(old, &late);
    }
    harness.break_off(old);
    harness.advance(0);
    assert_eq!(
        (harness.received.len(), &harness.open[..], harness.errors.len()),
        (3, &[(new, address(2))][..], 0)
    );
    harness.send(new, &event(7));
    assert_eq!(harness.received.last().unwrap(), "s-7");
}

#[test]
fn an_old_bulletin_that_skips_events_is_closed_and_the_new_one_is_followed() {
    let mut harness = Harness::new(3);
    let old = harness.connect();
    harness.send(old, "3\n");
    harness.switch_to(2);
    harness.send(old, &event(5));
    assert_eq!(
        (addresses(&harness), harness.errors.as_slice()),
        (vec![address(2)], &["events are missing: received number 5 after event 3".to_owned()][..])
    );
    let new = harness.connect();
    harness.send(new, &(event(4) + &event(5)));
    harness.advance(0);
    assert_eq!((harness.received.len(), addresses(&harness)), (2, vec![address(2)]));
}

#[test]
fn numbers_below_the_last_event_change_nothing_and_the_next_event_is_applied() {
    let mut harness = Harness::new(3);
    let feed = harness.connect();
    harness.send(feed, &(event(1) + &event(2) + "{\"no\":2}\n1\n" + &event(3) + "0\n"));
    assert_eq!((harness.received.len(), harness.follower.last_event(), harness.errors.len()), (0, 3, 0));
    harness.send(feed, &event(4));
    assert_eq!((harness.received.as_slice(), harness.open.len()), (&["s-4".to_owned()][..], 1));
}

#[test]
fn a_line_may_be_as_long_as_the_limit_and_no_longer() {
    let line = |length: usize| {
        let mut text = event(4);
        text.insert_str(text.len() - 2, &" ".repeat(length - text.len()));
        text
    };
    for pieces in [1, 7] {
        for (length, taken) in
            [(LIMITS.max_line - 1, true), (LIMITS.max_line, true), (LIMITS.max_line + 1, false)]
        {
            let mut harness = Harness::new(3);
            let feed = harness.connect();
            let text = line(length);
            for piece in text.as_bytes().chunks(length.div_ceil(pieces)) {
                harness.send(feed, std::str::from_utf8(piece).unwrap());
            }
            assert_eq!(
                (harness.received.len(), harness.errors.is_empty()),
                (usize::from(taken), taken),
                "{length} {pieces}"
            );
        }
    }
}

#[test]
fn a_bulletin_without_a_line_yet_is_followed_until_the_new_one_sends_a_line() {
    let mut harness = Harness::new(1);
    let old = harness.connect();
    harness.switch_to(2);
    let new = harness.connect();
    harness.send(old, &event(2));
    assert_eq!((harness.received.len(), addresses(&harness)), (1, vec![address(1), address(2)]));
    harness.send(new, "1\n");
    assert_eq!(addresses(&harness), [address(2)]);
}

#[test]
fn a_connection_may_take_as_long_as_the_settings_allow() {
    let limits = FollowerLimits::with_connect_timeout;
    for (configured, takes, succeeds) in [
        (S + S / 5, S, true),
        (S + S / 5, S + S / 4, false),
        // Below the default connect timeout, and above the maximum.
        (0, 2 * S / 5, true),
        (S / 4, 2 * S / 5, true),
        (S / 4, 3 * S / 5, false),
        (30 * S, 7 * S / 5, true),
        (30 * S, 8 * S / 5, false),
    ] {
        let mut harness = Harness::with_limits(limits(configured), 1);
        let first = harness.open[0].0;
        harness.advance(takes);
        harness.with(|f, now, out| f.connected(now, first, out));
        assert_eq!(harness.requests.len(), usize::from(succeeds), "{configured} {takes}");
        // With any setting the silence timeout and the connect timeout of the next attempt end within 4 s of the last
        // line.
        assert!(limits(configured).silence_timeout + limits(configured).connect_timeout < 4 * S);
    }
}

impl Harness {
    /// Sends a number without an event, which confirms the list up to it.
    fn confirm(&mut self, id: FeedId, no: u64) {
        let now = self.now;
        self.follower.input_drained(now);
        self.send(id, &format!("{no}\n"));
    }

    fn freshness(&self) -> Freshness {
        self.follower.freshness(self.now)
    }
}

fn broken(delivered_by: u64) -> Freshness {
    Freshness::Interrupted { delivered_by, why: Interruption::Broken }
}

fn silent(delivered_by: u64) -> Freshness {
    Freshness::Interrupted { delivered_by, why: Interruption::Silent }
}

#[test]
fn the_list_is_as_old_as_the_last_line_that_confirmed_it() {
    let mut harness = Harness::new(3);
    let feed = harness.connect();
    assert_eq!(harness.freshness(), Freshness::Unconfirmed);
    // A connection, an event and a lower number confirm nothing.
    harness.send(feed, &(event(4) + "3\n"));
    assert_eq!(harness.freshness(), Freshness::Unconfirmed);
    harness.confirm(feed, 4);
    let confirmed = harness.now;
    assert_eq!(harness.freshness(), Freshness::Current { delivered_by: confirmed + 4 * S });
    harness.advance(S + S / 2);
    assert_eq!(harness.freshness(), silent(confirmed + 4 * S));
    harness.confirm(feed, 4);
    assert_eq!(harness.freshness(), Freshness::Current { delivered_by: harness.now + 4 * S });
}

#[test]
fn a_break_has_its_own_deadline_and_connections_that_confirm_nothing_leave_it() {
    let mut harness = Harness::new(3);
    let feed = harness.connect();
    harness.confirm(feed, 3);
    harness.advance(S / 2);
    harness.follower.input_drained(harness.now);
    let broke = harness.now;
    harness.break_off(feed);
    assert_eq!(harness.freshness(), broken(broke + 2 * S));
    for _ in 0..3 {
        // It is connected for 0.3 s in every 3 s and delivers only an old event and an old number.
        harness.advance(3 * S);
        let feed = harness.connect();
        harness.send(feed, &(event(2) + "{\"no\":2}\n"));
        harness.advance(S * 3 / 10);
        harness.follower.input_drained(harness.now);
        harness.break_off(feed);
        assert_eq!(harness.freshness(), broken(broke + 2 * S));
    }
    harness.advance(S);
    let feed = harness.connect();
    harness.confirm(feed, 3);
    assert!(matches!(harness.freshness(), Freshness::Current { .. }));
}

#[test]
fn a_break_after_a_silence_does_not_extend_the_deadline_of_the_silence() {
    let mut harness = Harness::new(3);
    let feed = harness.connect();
    harness.confirm(feed, 3);
    let confirmed = harness.now;
    harness.advance(S * 19 / 10);
    harness.advance(S / 20);
    harness.follower.input_drained(harness.now);
    harness.break_off(feed);
    assert_eq!(harness.freshness(), broken((confirmed + 4 * S).min(harness.now + 2 * S)));
    harness.advance(10 * S);
    assert!(
        matches!(harness.freshness(), Freshness::Interrupted { delivered_by, .. } if delivered_by <= confirmed + 4 * S)
    );
}

#[test]
fn a_line_is_dated_by_when_the_input_was_last_drained_not_by_when_it_is_read() {
    let mut harness = Harness::new(3);
    let feed = harness.connect();
    harness.confirm(feed, 3);
    let before = harness.now;
    // The process is suspended while the line waits in its socket.
    harness.now += 5 * S;
    harness.send(feed, "3\n");
    assert_eq!(harness.freshness(), silent(before + 4 * S));
}

#[test]
fn after_a_switch_only_the_new_bulletin_confirms_the_list() {
    let mut harness = Harness::new(3);
    let old = harness.connect();
    harness.confirm(old, 3);
    let confirmed = harness.now;
    harness.switch_to(2);
    harness.advance(S / 4);
    harness.confirm(old, 3);
    // The end of the old connection after a switch is not an interruption.
    harness.break_off(old);
    assert_eq!(harness.freshness(), Freshness::Current { delivered_by: confirmed + 4 * S });
    let new = harness.connect();
    harness.send(new, &event(4));
    assert_eq!(harness.freshness(), Freshness::Current { delivered_by: confirmed + 4 * S });
    harness.confirm(new, 4);
    assert_eq!(harness.freshness(), Freshness::Current { delivered_by: harness.now + 4 * S });
}
