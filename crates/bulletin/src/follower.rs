use crate::event::{BulletinError, Line, Roster};
use crate::freshness::{Freshness, FreshnessClock};
use bytes::{Buf, BytesMut};
use std::net::SocketAddr;

/// Microseconds.
type Micros = u64;

/// Bounds of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerLimits {
    /// Most bytes of a line, its end included.
    pub max_line: usize,
    /// A bulletin that says nothing for so long, though it owes a line each second, is left.
    pub silence_timeout: Micros,
    /// A connection that does not stand by then has failed.
    pub connect_timeout: Micros,
    /// Shortest and longest wait between two connections that fail.
    pub reconnect_delays: (Micros, Micros),
}

impl Default for FollowerLimits {
    fn default() -> Self {
        // What a silent bulletin would have told counts as told after 4 s, what a broken one would after 2.
        Self {
            max_line: 1 << 20,
            silence_timeout: 2_200_000,
            connect_timeout: 500_000,
            reconnect_delays: (20_000, 500_000),
        }
    }
}

impl FollowerLimits {
    /// Bounds where the settings say that a connection may take so long to stand: one that does is not given up
    /// before, else no connection would ever stand there. With the longest silence it stays under the 4 s after which
    /// what was not heard counts as told.
    pub fn with_connect_timeout(told: Micros) -> Self {
        let usual = Self::default();
        Self { connect_timeout: told.clamp(usual.connect_timeout, 1_500_000), ..usual }
    }
}

/// Names a connection to a bulletin, over the life of the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FeedId(pub u64);

/// What a follower wants done, or has learnt.
#[derive(Debug)]
pub enum Step {
    /// Begin a connection.
    Connect(FeedId, SocketAddr),
    /// Write this on it.
    Write(FeedId, String),
    /// End it; nothing of it is to be told any more.
    Close(FeedId),
    /// A roster that holds from now on.
    Roster(Roster),
    /// A connection is left, and why; for the log.
    Abandoned(FeedId, Option<BulletinError>),
}

struct Feed {
    id: FeedId,
    address: SocketAddr,
    begun: Micros,
    /// When patience with it ends.
    until: Micros,
    /// It stood at some time.
    stood: bool,
    /// It has told a line that can be read.
    spoke: bool,
    /// Input already searched for the end of a line.
    searched: usize,
}

/// Follows one bulletin, and a second one while it moves from one to the other.
///
/// At any time there is a connection to the last address told or a time for the next one, and no more than two stand:
/// the one followed so far, and the one begun last.
pub struct Follower {
    limits: FollowerLimits,
    address: SocketAddr,
    /// Number of the last event held.
    last: u64,
    feeds: Vec<Feed>,
    given: u64,
    /// When the next connection is begun, where none is under way.
    next: Option<Micros>,
    wait: Micros,
    freshness: FreshnessClock,
    /// The latest time at which nothing waited to be read.
    read_all: Micros,
}

/// The last number alone comes as a JSON object that holds no more, or bare.
fn parse(line: &[u8]) -> Result<Line, BulletinError> {
    let bare = line.trim_ascii();
    if let Some(no) = std::str::from_utf8(bare).ok().and_then(|text| text.parse().ok()) {
        return Ok(Line { no, roster: None });
    }
    Ok(serde_json::from_slice(bare)?)
}

impl Follower {
    /// A follower of the bulletin at this address that holds the events up to `last`; it connects when first
    /// woken.
    pub fn new(limits: FollowerLimits, address: SocketAddr, last: u64) -> Self {
        let (feeds, given) = (Vec::new(), 0);
        let (next, wait, freshness) = (Some(0), limits.reconnect_delays.0, FreshnessClock::default());
        Self { limits, address, last, feeds, given, next, wait, freshness, read_all: 0 }
    }

    /// How far the list that is held is to be believed at `now`.
    pub fn freshness(&self, now: Micros) -> Freshness {
        self.freshness.read(now)
    }

    /// Nothing waited to be read at `at`: what is read from now on has come later. Lines and ends count as of this
    /// time, not as of when they are read: a process that stood still reads words that are old.
    pub fn input_drained(&mut self, at: Micros) {
        self.read_all = self.read_all.max(at);
    }

    /// Number of the last event held.
    pub fn last_event(&self) -> u64 {
        self.last
    }

    /// When [`Follower::wake`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.feeds.iter().map(|f| f.until).chain(self.next).min()
    }

    /// Does what is due by `now`.
    pub fn wake(&mut self, now: Micros, out: &mut Vec<Step>) {
        while let Some(feed) = self.feeds.iter().find(|f| f.until <= now).map(|f| f.id) {
            out.push(Step::Close(feed));
            self.leave(now, feed, None, out);
        }
        if self.next.is_some_and(|at| at <= now) {
            self.next = None;
            let id = FeedId(self.given);
            self.given += 1;
            let (address, until) = (self.address, now + self.limits.connect_timeout);
            self.feeds.push(Feed { id, address, begun: now, until, stood: false, spoke: false, searched: 0 });
            out.push(Step::Connect(id, address));
        }
    }

    /// A connection stands: the events after the last one held are asked for.
    pub fn connected(&mut self, now: Micros, id: FeedId, out: &mut Vec<Step>) {
        let until = now + self.limits.silence_timeout;
        if let Some(feed) = self.feeds.iter_mut().find(|f| f.id == id) {
            feed.until = until;
            feed.stood = true;
            out.push(Step::Write(id, format!("after {}\n", self.last)));
        }
    }

    /// A connection has ended, or never stood.
    pub fn ended(&mut self, now: Micros, id: FeedId, out: &mut Vec<Step>) {
        self.broke(now, id);
        self.leave(now, id, None, out);
    }

    /// Another bulletin is to be followed. The one before is followed too until the new one speaks or it ends; one
    /// that was to take its place and has told nothing yet is not waited for.
    pub fn switch_to(&mut self, now: Micros, address: SocketAddr, out: &mut Vec<Step>) {
        if address != self.address {
            self.address = address;
            (self.next, self.wait) = (Some(now), self.limits.reconnect_delays.0);
            let oldest = self.feeds.first().map(|feed| feed.id);
            self.keep(|feed| Some(feed.id) == oldest, out);
        }
    }

    /// Closes all connections but those that are kept.
    fn keep(&mut self, kept: impl Fn(&Feed) -> bool, out: &mut Vec<Step>) {
        out.extend(self.feeds.iter().filter(|f| !kept(f)).map(|f| Step::Close(f.id)));
        self.feeds.retain(kept);
    }

    /// Takes the whole lines out of a connection's input.
    pub fn read_lines(&mut self, now: Micros, id: FeedId, input: &mut BytesMut, out: &mut Vec<Step>) {
        while let Some(feed) = self.feeds.iter_mut().find(|f| f.id == id) {
            let from = feed.searched.min(input.len());
            let Some(end) = memchr::memchr(b'\n', &input[from..]).map(|at| at + from) else {
                feed.searched = input.len();
                if input.len() > self.limits.max_line {
                    out.push(Step::Close(id));
                    self.broke(now, id);
                    self.leave(now, id, Some(BulletinError::LineTooLong), out);
                }
                return;
            };
            feed.searched = 0;
            let within = end < self.limits.max_line;
            let told = if within { parse(&input[..end]) } else { Err(BulletinError::LineTooLong) };
            input.advance(end + 1);
            let complete = told.as_ref().is_ok_and(|line| line.roster.is_none() && line.no == self.last);
            if let Err(error) = told.and_then(|line| self.line(line, out)) {
                out.push(Step::Close(id));
                self.broke(now, id);
                return self.leave(now, id, Some(error), out);
            }
            if complete && self.follows(id) {
                self.freshness.confirm(self.read_all.min(now));
            }
            self.spoke(now, id, out);
        }
    }

    /// Whether this connection is one to the address told last: one before it tells nothing further.
    fn follows(&self, id: FeedId) -> bool {
        self.feeds.iter().any(|feed| feed.id == id && feed.address == self.address)
    }

    /// A connection has ended by itself, or is of no more use for what it told. One that never stood, or one to an
    /// address before, tells nothing of the list.
    fn broke(&mut self, now: Micros, id: FeedId) {
        if self.follows(id) && self.feeds.iter().any(|feed| feed.id == id && feed.stood) {
            self.freshness.break_off(self.read_all.min(now));
        }
    }

    fn line(&mut self, line: Line, out: &mut Vec<Step>) -> Result<(), BulletinError> {
        // Of an event the one before must be held, of a number alone the event itself.
        let most = self.last + u64::from(line.roster.is_some());
        if line.no > most {
            return Err(BulletinError::Gap { last: self.last, received: line.no });
        }
        if let Some(roster) = line.roster.filter(|_| line.no > self.last) {
            self.last = line.no;
            self.wait = self.limits.reconnect_delays.0;
            out.push(Step::Roster(roster));
        }
        Ok(())
    }

    /// A line that can be read has come: patience begins anew, and with the connection begun last to the address told
    /// last, those before it are left.
    fn spoke(&mut self, now: Micros, id: FeedId, out: &mut Vec<Step>) {
        let (address, newest) = (self.address, self.feeds.last().is_some_and(|f| f.id == id));
        let Some(feed) = self.feeds.iter_mut().find(|f| f.id == id) else { return };
        feed.until = now + self.limits.silence_timeout;
        feed.spoke = true;
        if newest && feed.address == address {
            self.keep(|feed| feed.id == id, out);
        }
    }

    fn leave(&mut self, now: Micros, id: FeedId, why: Option<BulletinError>, out: &mut Vec<Step>) {
        let Some(at) = self.feeds.iter().position(|f| f.id == id) else { return };
        let feed = self.feeds.remove(at);
        out.push(Step::Abandoned(id, why));
        if feed.address != self.address || self.feeds.iter().any(|f| f.address == self.address) {
            return;
        }
        // At once after one that was of use: it brought an event, or stood for longer than any wait. One that speaks
        // and breaks each time would be asked without a pause. Else ever later, up to the bound.
        let (shortest, longest) = self.limits.reconnect_delays;
        if feed.spoke && now.saturating_sub(feed.begun) >= longest {
            self.wait = shortest;
        }
        let at_once = feed.spoke && self.wait == shortest;
        self.next = Some(if at_once { now } else { now + self.wait });
        self.wait = (self.wait * 2).min(longest);
    }
}
