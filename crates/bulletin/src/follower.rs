use crate::event::{BulletinError, Line, Roster};
use crate::freshness::{Freshness, FreshnessClock};
use bytes::{Buf, BytesMut};
use std::net::SocketAddr;

/// Microseconds.
type Micros = u64;

/// Limits and timeouts of a [`Follower`]; times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerLimits {
    /// Maximum length of a line in bytes, the newline included.
    pub max_line: usize,
    /// A connection on which no valid line arrives for this long is closed; a bulletin sends a line every second.
    pub silence_timeout: Micros,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Micros,
    /// Minimum and maximum delay before the next connection attempt after a failed one.
    pub reconnect_delays: (Micros, Micros),
}

impl Default for FollowerLimits {
    fn default() -> Self {
        // Missing events count as delivered 4 s after a bulletin falls silent and 2 s after its connection breaks.
        Self {
            max_line: 1 << 20,
            silence_timeout: 2_200_000,
            connect_timeout: 500_000,
            reconnect_delays: (20_000, 500_000),
        }
    }
}

impl FollowerLimits {
    /// Default limits with a longer connect timeout, for platforms whose settings allow that much time to connect: with
    /// a shorter one no connection would ever be established there. At most 1.5 s, so that it and the silence timeout
    /// together stay below the 4 s after which missing events count as delivered.
    pub fn with_connect_timeout(configured: Micros) -> Self {
        let default = Self::default();
        Self { connect_timeout: configured.clamp(default.connect_timeout, 1_500_000), ..default }
    }
}

/// Identifies a connection to a bulletin; never reused by the same follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FeedId(pub u64);

/// An action for the caller of a [`Follower`], or a result.
#[derive(Debug)]
pub enum Step {
    /// Open a connection to this address.
    Connect(FeedId, SocketAddr),
    /// Write this text to the connection.
    Write(FeedId, String),
    /// Close the connection and pass no more of its input or its end to the follower.
    Close(FeedId),
    /// Apply this roster.
    Roster(Roster),
    /// The follower has abandoned the connection, with the error that caused it, if any; for the log.
    Abandoned(FeedId, Option<BulletinError>),
}

struct Feed {
    id: FeedId,
    address: SocketAddr,
    opened_at: Micros,
    /// When the connect timeout or the silence timeout expires.
    expires_at: Micros,
    was_connected: bool,
    /// Whether a valid line has been received.
    has_valid_line: bool,
    /// Number of input bytes already searched; they contain no newline.
    searched: usize,
}

/// Follows one bulletin, and a second one while it switches from one to the other.
///
/// Invariant: a connection to the current address exists or the next attempt is scheduled, and at most two connections
/// exist: the one followed so far and the newest one.
pub struct Follower {
    limits: FollowerLimits,
    /// Address of the bulletin that was configured last.
    address: SocketAddr,
    /// Number of the last event applied.
    last_event: u64,
    feeds: Vec<Feed>,
    /// Value of the next [`FeedId`].
    next_id: u64,
    /// When the next connection is opened, if none to the current address exists.
    reconnect_at: Option<Micros>,
    /// Delay before the connection attempt after the next failure.
    reconnect_delay: Micros,
    freshness: FreshnessClock,
    /// Latest time at which no input was waiting to be read.
    drained_at: Micros,
}

/// Parses a line. A number without an event is a JSON object with that single field, or a plain number.
fn parse(line: &[u8]) -> Result<Line, BulletinError> {
    let bare = line.trim_ascii();
    if let Some(no) = std::str::from_utf8(bare).ok().and_then(|text| text.parse().ok()) {
        return Ok(Line { no, roster: None });
    }
    Ok(serde_json::from_slice(bare)?)
}

impl Follower {
    /// Creates a follower of the bulletin at this address for a list with the events up to `last`. It connects at the
    /// first [`Follower::wake`].
    pub fn new(limits: FollowerLimits, address: SocketAddr, last: u64) -> Self {
        Self {
            limits,
            address,
            last_event: last,
            feeds: Vec::new(),
            next_id: 0,
            reconnect_at: Some(0),
            reconnect_delay: limits.reconnect_delays.0,
            freshness: FreshnessClock::default(),
            drained_at: 0,
        }
    }

    /// Freshness of the list at `now`.
    pub fn freshness(&self, now: Micros) -> Freshness {
        self.freshness.at(now)
    }

    /// Records that no input was waiting to be read at `at`, so input that is read later arrived after `at`. Lines and
    /// ends of connections are dated by this time and not by when they are read: a process that was suspended reads
    /// old lines.
    pub fn input_drained(&mut self, at: Micros) {
        self.drained_at = self.drained_at.max(at);
    }

    /// Number of the last event applied.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// When [`Follower::wake`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.feeds.iter().map(|f| f.expires_at).chain(self.reconnect_at).min()
    }

    /// Closes connections whose timeout has expired by `now`, and opens the next one if it is due.
    pub fn wake(&mut self, now: Micros, out: &mut Vec<Step>) {
        while let Some(feed) = self.feeds.iter().find(|f| f.expires_at <= now).map(|f| f.id) {
            out.push(Step::Close(feed));
            self.abandon(now, feed, None, out);
        }
        if self.reconnect_at.is_some_and(|at| at <= now) {
            self.reconnect_at = None;
            let id = FeedId(self.next_id);
            self.next_id += 1;
            let (address, expires_at) = (self.address, now + self.limits.connect_timeout);
            self.feeds.push(Feed {
                id,
                address,
                opened_at: now,
                expires_at,
                was_connected: false,
                has_valid_line: false,
                searched: 0,
            });
            out.push(Step::Connect(id, address));
        }
    }

    /// Handles an established connection: requests the events after the last one applied.
    pub fn connected(&mut self, now: Micros, id: FeedId, out: &mut Vec<Step>) {
        let expires_at = now + self.limits.silence_timeout;
        if let Some(feed) = self.feeds.iter_mut().find(|f| f.id == id) {
            feed.expires_at = expires_at;
            feed.was_connected = true;
            out.push(Step::Write(id, format!("after {}\n", self.last_event)));
        }
    }

    /// Handles a connection that has ended or could not be established.
    pub fn ended(&mut self, now: Micros, id: FeedId, out: &mut Vec<Step>) {
        self.on_break(now, id);
        self.abandon(now, id, None, out);
    }

    /// Switches to the bulletin at another address. The previous one is followed too, until the new one has sent a
    /// valid line or the previous connection ends. A connection of an earlier switch that is not complete yet is
    /// closed.
    pub fn switch_to(&mut self, now: Micros, address: SocketAddr, out: &mut Vec<Step>) {
        if address != self.address {
            self.address = address;
            (self.reconnect_at, self.reconnect_delay) = (Some(now), self.limits.reconnect_delays.0);
            let oldest = self.feeds.first().map(|feed| feed.id);
            self.close_others(|feed| Some(feed.id) == oldest, out);
        }
    }

    /// Closes all connections for which `keep` is false.
    fn close_others(&mut self, keep: impl Fn(&Feed) -> bool, out: &mut Vec<Step>) {
        out.extend(self.feeds.iter().filter(|f| !keep(f)).map(|f| Step::Close(f.id)));
        self.feeds.retain(keep);
    }

    /// Consumes the complete lines in a connection's input.
    pub fn read_lines(&mut self, now: Micros, id: FeedId, input: &mut BytesMut, out: &mut Vec<Step>) {
        while let Some(feed) = self.feeds.iter_mut().find(|f| f.id == id) {
            let from = feed.searched.min(input.len());
            let Some(end) = memchr::memchr(b'\n', &input[from..]).map(|at| at + from) else {
                feed.searched = input.len();
                if input.len() > self.limits.max_line {
                    out.push(Step::Close(id));
                    self.on_break(now, id);
                    self.abandon(now, id, Some(BulletinError::LineTooLong), out);
                }
                return;
            };
            feed.searched = 0;
            let fits = end < self.limits.max_line;
            let parsed = if fits { parse(&input[..end]) } else { Err(BulletinError::LineTooLong) };
            input.advance(end + 1);
            let confirms_list =
                parsed.as_ref().is_ok_and(|line| line.roster.is_none() && line.no == self.last_event);
            if let Err(error) = parsed.and_then(|line| self.apply(line, out)) {
                out.push(Step::Close(id));
                self.on_break(now, id);
                return self.abandon(now, id, Some(error), out);
            }
            if confirms_list && self.is_current(id) {
                self.freshness.confirm(self.drained_at.min(now));
            }
            self.on_valid_line(now, id, out);
        }
    }

    /// Whether this connection goes to the current address. Others are no longer evidence of the list's freshness.
    fn is_current(&self, id: FeedId) -> bool {
        self.feeds.iter().any(|feed| feed.id == id && feed.address == self.address)
    }

    /// Records the break of a connection that ended or sent an invalid line. One that was never established, or goes to
    /// an earlier address, does not affect the list's freshness.
    fn on_break(&mut self, now: Micros, id: FeedId) {
        if self.is_current(id) && self.feeds.iter().any(|feed| feed.id == id && feed.was_connected) {
            self.freshness.record_break(self.drained_at.min(now));
        }
    }

    fn apply(&mut self, line: Line, out: &mut Vec<Step>) -> Result<(), BulletinError> {
        // An event may be the next one; a number without an event may be at most the last event applied.
        let max_number = self.last_event + u64::from(line.roster.is_some());
        if line.no > max_number {
            return Err(BulletinError::Gap { last: self.last_event, received: line.no });
        }
        if let Some(roster) = line.roster.filter(|_| line.no > self.last_event) {
            self.last_event = line.no;
            self.reconnect_delay = self.limits.reconnect_delays.0;
            out.push(Step::Roster(roster));
        }
        Ok(())
    }

    /// Handles a valid line: restarts the silence timeout, and closes the earlier connections if this is the newest one
    /// and goes to the current address.
    fn on_valid_line(&mut self, now: Micros, id: FeedId, out: &mut Vec<Step>) {
        let (address, newest) = (self.address, self.feeds.last().is_some_and(|f| f.id == id));
        let Some(feed) = self.feeds.iter_mut().find(|f| f.id == id) else { return };
        feed.expires_at = now + self.limits.silence_timeout;
        feed.has_valid_line = true;
        if newest && feed.address == address {
            self.close_others(|feed| feed.id == id, out);
        }
    }

    /// Removes a connection and schedules the next one if none to the current address is left.
    fn abandon(&mut self, now: Micros, id: FeedId, error: Option<BulletinError>, out: &mut Vec<Step>) {
        let Some(at) = self.feeds.iter().position(|f| f.id == id) else { return };
        let feed = self.feeds.remove(at);
        out.push(Step::Abandoned(id, error));
        if feed.address != self.address || self.feeds.iter().any(|f| f.address == self.address) {
            return;
        }
        // Reconnects at once if this connection sent a valid line and the delay is at its minimum. The delay doubles
        // each time, up to the maximum; it is reset by an event, or by a connection that sent a valid line and lasted
        // at least the maximum delay. A valid line alone doesn't reset it: a bulletin that sends one and breaks each
        // time would be reconnected to without pause.
        let (min_delay, max_delay) = self.limits.reconnect_delays;
        if feed.has_valid_line && now.saturating_sub(feed.opened_at) >= max_delay {
            self.reconnect_delay = min_delay;
        }
        let immediately = feed.has_valid_line && self.reconnect_delay == min_delay;
        self.reconnect_at = Some(if immediately { now } else { now + self.reconnect_delay });
        self.reconnect_delay = (self.reconnect_delay * 2).min(max_delay);
    }
}
