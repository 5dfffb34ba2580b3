//! The Thrift front: clients' connections, their requests turned into calls, answers written back.

use crate::config::NodeConfig;
use crate::work::{Served, Work};
use basaltward::{Class, FunctionId, Micros, Repeat};
use basaltward_engine::{Answer, Function, Identity, NewCall, WaiterId};
use basaltward_net::{ConnId, Happened, Io};
use basaltward_thrift::{Asked, Frames, Kind, Submit, Told, next_frame, read_request, write};
use basaltward_timers::Timers;
use slab::Slab;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex};

/// Most bytes of one frame: a body of 16 KiB with its fields.
const FRAME: usize = 24 << 10;
/// Most bytes of a body.
const BODY: usize = 16 << 10;
/// Most bytes of an effect's key.
const KEY: usize = 64;
/// Most requests open on one connection.
const OPEN: usize = 32;
/// A connection that has asked nothing whole by then is of no use: whoever comes to no good is owed an end
/// within three seconds.
const FIRST_US: Micros = 2_400_000;
/// Usual clients close a connection that has been idle for four seconds.
const IDLE_US: Micros = 6_000_000;
/// While connections are short, one that has been idle for so long may go.
const SPARE_US: Micros = 300_000;
/// A connection that would go and on which something has come is asked again after this.
const LOOKS_US: Micros = 10_000;
/// The rest of a request comes within 50 ms of its first bytes, and one that crossed the close of its connection within 50
/// ms of that on a new one; some more for the way. Until then such a connection is not closed.
const CROSSING_US: Micros = 60_000;
/// Connections kept free for new clients, and how often that is seen to while they are short.
const ROOM: usize = 4;
const ROOM_US: Micros = 100_000;
/// Connections looked at for one that may go.
const SPARES: usize = 64;
/// Answers that a client does not read, held for it. Past it new requests are turned away: an answer would stand
/// behind these. They are read still, for what the client withdraws among them.
const UNSENT: usize = 64 << 10;
/// Requests that can't be used, taken from one connection; a usual client sends none.
const UNUSABLE: u32 = 4;
/// Frames taken from one connection before others get their turn.
const TURN: usize = 8;
/// Frames looked at behind a request before it is begun: as many as may be open, and as many that withdraw them.
const BEHIND: usize = 2 * OPEN;
/// No figure of a function or a request is above this.
const LANES: f64 = 4_096.0;
const SPAN_MS: f64 = 600_000.0;

/// What a client's request leads to.
pub enum Step {
    /// A call for the engine.
    Call(NewCall<Work>),
    /// These wait no longer.
    Left(Vec<WaiterId>),
    /// Answered already, or nothing to answer.
    Done,
}

struct Client {
    /// Open requests by their number.
    open: Vec<(i32, WaiterId)>,
    /// The highest number used.
    last: i32,
    unusable: u32,
    /// Requests turned away in a row because it does not read its answers.
    unread: usize,
    /// A whole request has come on it.
    asked: bool,
    ready: bool,
    /// When the first byte of the request now arriving came.
    began: Option<Micros>,
    used: Micros,
    /// When it was accepted.
    opened: Micros,
    /// When patience with it ends, and the timer that is set for it, which is moved only to an earlier time.
    until: Micros,
    armed: Micros,
}

/// An open request.
pub struct Waiting {
    id: WaiterId,
    conn: ConnId,
    seqid: i32,
    /// Its id.
    pub request: u64,
    /// Its function.
    pub function: FunctionId,
    /// Its class.
    pub class: usize,
    /// When its bytes were there.
    pub came: Micros,
}

/// The front of the loop.
pub struct Front {
    frames: Frames,
    most: usize,
    classes: Vec<FrontClass>,
    tenants: Vec<String>,
    memory_mb: f64,
    source: Arc<str>,
    clients: HashMap<ConnId, Client>,
    /// Connections without an open request, by the time at which they were last used.
    idle: BTreeSet<(Micros, ConnId)>,
    waiting: Slab<Waiting>,
    /// Ids of open requests.
    ids: HashSet<u64>,
    given: u64,
    due: Timers<ConnId>,
    ready: VecDeque<(Micros, ConnId)>,
    /// When room is to be made again.
    room: Option<Micros>,
    /// A worker that takes calls has been told of: what a heartbeat says.
    knows_worker: bool,
    leaving: bool,
    /// When the last connection was closed that stood before the scheduler turned requests away.
    left_at: Micros,
}

fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// An effect's key goes into a line to a worker as it is: nothing in it may end a word or a field there.
fn usable_key(text: &str) -> Option<&str> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    ((1..=KEY).contains(&text.len()) && text.bytes().all(plain)).then_some(text)
}

fn within(text: &str, most: f64) -> Option<f64> {
    text.parse::<f64>().ok().filter(|x| x.is_finite() && *x > 0.0 && *x <= most)
}

/// What the front has to know of a class.
struct FrontClass {
    name: String,
    deadline: Micros,
    /// Its workers discard repeats by a key that comes with each request.
    keyed: bool,
}

impl FrontClass {
    fn new(name: &str, class: &Class) -> Self {
        let keyed = matches!(class.repeat, Repeat::Keyed { .. });
        Self { name: name.into(), deadline: class.deadline, keyed }
    }
}

/// Where an open request is kept, by the number of who waits for it.
fn slot(waiter: WaiterId) -> usize {
    (waiter.0 & 0xf_ffff) as usize
}

/// What the front takes out of a request.
struct Read {
    request: u64,
    tenant: usize,
    class: usize,
    key: Option<String>,
    timeout: Micros,
    function: Function,
}

impl Front {
    /// A front without clients.
    pub fn new(config: &NodeConfig) -> Self {
        let classes = config.told.classes.iter().zip(&config.told.module.classes);
        let memory = config.told.module.copies.kind_memory_mb.iter().copied();
        Self {
            frames: Frames { most: FRAME },
            most: config.budget.clients,
            classes: classes.map(|(name, class)| FrontClass::new(name, class)).collect(),
            tenants: config.told.tenants.clone(),
            memory_mb: memory.fold(0.0, f64::max),
            source: "".into(),
            clients: HashMap::new(),
            idle: BTreeSet::new(),
            waiting: Slab::new(),
            ids: HashSet::new(),
            given: 0,
            due: Timers::default(),
            ready: VecDeque::new(),
            room: None,
            knows_worker: false,
            leaving: false,
            left_at: 0,
        }
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.due.next().into_iter().chain(self.room).min()
    }

    /// Where connections run short those that have been idle longest make room. Whether someone waits to be
    /// accepted is not known once none is, so it is looked after again as long as they are short.
    fn make_room(&mut self, io: &mut Io, now: Micros) {
        let short = |front: &Self| front.clients.len() + ROOM >= front.most;
        while short(self)
            && let Some(idle) = self.spare(io, now)
        {
            self.forget(idle);
            io.abort(idle);
        }
        self.room = short(self).then_some(now + ROOM_US);
    }

    /// A client has connected.
    pub fn accepted(&mut self, io: &mut Io, now: Micros, conn: ConnId) {
        self.make_room(io, now);
        let until = now + FIRST_US;
        let (open, used, armed) = (Vec::new(), now, Micros::MAX);
        let (last, unusable, unread, asked, ready, began) = (i32::MIN, 0, 0, false, false, None);
        let opened = now;
        let client = Client { open, last, unusable, unread, asked, ready, began, used, opened, until, armed };
        self.clients.insert(conn, client);
        self.idle.insert((now, conn));
        self.arm(conn, until);
    }

    /// The connection to go where they run short: of those idle for a while one that has asked nothing yet, else
    /// the one idle longest. Never one on which something has come that was not looked at: a request in it has
    /// been taken.
    fn spare(&self, io: &mut Io, now: Micros) -> Option<ConnId> {
        let idle = self.idle.iter().take_while(|(used, _)| used + SPARE_US <= now).map(|(_, conn)| *conn);
        let silent = |c: &ConnId| self.clients.get(c).is_some_and(|c| !c.asked);
        let mut all: Vec<_> = idle.filter(|conn| self.quiet(conn)).take(SPARES).collect();
        // Before those that have not read their answers.
        all.sort_by_cached_key(|conn| (!silent(conn), io.unsent(*conn) > 0));
        // While we stop, a request that crosses the end of its connection has nowhere else to go.
        all.retain(|conn| silent(conn) || !self.leaving);
        all.into_iter().find(|conn| !io.is_stale(*conn))
    }

    /// Whether nothing has come on a connection that was not looked at.
    fn quiet(&self, conn: &ConnId) -> bool {
        self.clients.get(conn).is_some_and(|c| c.began.is_none() && !c.ready)
    }

    fn arm(&mut self, conn: ConnId, until: Micros) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.until = until;
        if until < client.armed {
            client.armed = until;
            self.due.set(until, conn);
        }
    }

    /// Drops all that is known of a connection; gives who waited on it.
    pub fn forget(&mut self, conn: ConnId) -> Vec<WaiterId> {
        let Some(client) = self.clients.remove(&conn) else { return Vec::new() };
        self.idle.remove(&(client.used, conn));
        let waiters: Vec<_> = client.open.into_iter().map(|(_, waiter)| waiter).collect();
        for waiter in &waiters {
            self.take(*waiter);
        }
        waiters
    }

    /// Bytes have come, or some that waited may be looked at: the connection is, in its turn.
    pub fn came(&mut self, now: Micros, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.began.get_or_insert(now);
        if !std::mem::replace(&mut client.ready, true) {
            self.ready.push_back((now, conn));
        }
    }

    /// Since when the oldest input waits to be looked at.
    pub fn oldest(&self) -> Option<Micros> {
        self.ready.front().map(|(came, _)| *came)
    }

    /// Whether this is about a client that is known.
    pub fn concerns(&self, happened: &Happened) -> bool {
        match happened {
            Happened::Data(conn) | Happened::Drained(conn) | Happened::Ended(conn, _) => {
                self.clients.contains_key(conn)
            }
            _ => false,
        }
    }

    /// Looks at the connection that has waited longest; gives when its bytes were there, and what its requests
    /// lead to.
    pub fn look(&mut self, io: &mut Io, now: Micros) -> Vec<Step> {
        let Some((came, conn)) = self.ready.pop_front() else { return Vec::new() };
        self.look_at(io, now, (came, conn), TURN)
    }

    /// Looks on where the client who waits for this has sent more, of which not all was looked at.
    pub fn look_behind(&mut self, io: &mut Io, now: Micros, waiter: WaiterId) -> Option<Vec<Step>> {
        let conn = self.waiting.get(slot(waiter)).filter(|w| w.id == waiter)?.conn;
        self.clients.get(&conn).filter(|c| c.ready)?;
        let at = self.ready.iter().position(|(_, ready)| *ready == conn)?;
        let (came, _) = self.ready.remove(at)?;
        Some(self.look_at(io, now, (came, conn), BEHIND))
    }

    fn look_at(
        &mut self,
        io: &mut Io,
        now: Micros,
        (came, conn): (Micros, ConnId),
        most: usize,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        let Some(client) = self.clients.get_mut(&conn) else { return steps };
        client.ready = false;
        for _ in 0..most {
            let Some(input) = io.input(conn) else { return steps };
            let step = match next_frame(self.frames, input) {
                Ok(Some(frame)) => {
                    // What stands behind it is another request, with a patience of its own.
                    if let Some(client) = self.clients.get_mut(&conn) {
                        client.began = None;
                    }
                    self.frame(io, now, (came, conn), &frame)
                }
                Ok(None) => {
                    let part = !input.is_empty();
                    io.release_input(conn);
                    io.pause(conn, false);
                    let Some(client) = self.clients.get_mut(&conn) else { return steps };
                    if !part {
                        client.began = None;
                    } else if client.asked {
                        let until = *client.began.get_or_insert(now) + FIRST_US;
                        self.arm(conn, until);
                    }
                    return steps;
                }
                Err(_) => None,
            };
            match step {
                Some(step) => steps.push(step),
                None => {
                    steps.push(self.break_off(io, conn));
                    return steps;
                }
            }
        }
        // More may be there: at the end of the queue, as old as it is.
        self.came(came, conn);
        steps
    }

    /// What is sent on a connection is not by the protocol: it ends, with all that is open on it.
    fn break_off(&mut self, io: &mut Io, conn: ConnId) -> Step {
        let left = self.forget(conn);
        io.close(conn);
        Step::Left(left)
    }

    /// One frame of a client; `None` where it is not by the protocol.
    fn frame(
        &mut self,
        io: &mut Io,
        now: Micros,
        (came, conn): (Micros, ConnId),
        frame: &[u8],
    ) -> Option<Step> {
        let (head, asked) = read_request(frame).ok()?;
        let (name, seqid) = (head.name, head.seqid);
        let oneway = head.kind == Kind::Oneway;
        let told = match asked {
            Asked::Submit(submit) if !oneway => match self.submit(io, (came, conn), seqid, &submit)? {
                Ok(call) => {
                    self.touch(now, conn);
                    return Some(Step::Call(call));
                }
                Err(told) => told,
            },
            Asked::Revoke(of) => {
                let client = self.clients.get_mut(&conn)?;
                let at = client.open.iter().position(|(seqid, _)| *seqid == of);
                let waiter = at.map(|at| client.open.swap_remove(at).1);
                if let Some(waiter) = waiter {
                    self.take(waiter);
                }
                self.touch(now, conn);
                return Some(Step::Left(waiter.into_iter().collect()));
            }
            Asked::Heartbeat if !oneway => {
                self.is_read(io, conn)?;
                Told::Answer(b"", self.knows_worker)
            }
            Asked::Unknown if !oneway => {
                self.unusable(conn)?;
                Told::UnknownMethod
            }
            // A call that must have an answer, sent as one that wants none, or a method nobody knows.
            _ => return None,
        };
        write::reply(io.output(conn)?, name, seqid, &told);
        self.touch(now, conn);
        Some(Step::Done)
    }

    /// Whether a client reads its answers; `None` where it goes on asking for too long without.
    fn is_read(&mut self, io: &mut Io, conn: ConnId) -> Option<bool> {
        let is_read = io.unsent(conn) <= UNSENT;
        let client = self.clients.get_mut(&conn)?;
        client.unread = if is_read { 0 } else { client.unread + 1 };
        (client.unread <= OPEN).then_some(is_read)
    }

    /// One more that can't be used; `None` where it is too many.
    fn unusable(&mut self, conn: ConnId) -> Option<()> {
        let client = self.clients.get_mut(&conn)?;
        client.unusable += 1;
        (client.unusable <= UNUSABLE).then_some(())
    }

    /// A connection was used: its idle time begins anew, or does not run while requests are open.
    fn touch(&mut self, now: Micros, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        self.idle.remove(&(client.used, conn));
        client.used = now;
        client.asked = true;
        if client.open.is_empty() {
            self.idle.insert((now, conn));
            self.arm(conn, now + IDLE_US);
        } else if let Some(client) = self.clients.get_mut(&conn) {
            client.until = Micros::MAX;
        }
    }

    /// A call of `submit`: the call for the engine, what it is told at once, or `None` where its connection
    /// can't be trusted any more.
    fn submit(
        &mut self,
        io: &mut Io,
        (came, conn): (Micros, ConnId),
        seqid: i32,
        submit: &Submit,
    ) -> Option<Result<NewCall<Work>, Told<'static>>> {
        let client = self.clients.get_mut(&conn)?;
        // Numbers count up, and no more are open than may be: else an answer could be taken for another's.
        if seqid <= client.last || client.open.len() >= OPEN {
            return None;
        }
        client.last = seqid;
        if !self.is_read(io, conn)? {
            return Some(Err(Told::Rejected(None)));
        }
        let Some(read) = self.read(submit) else {
            self.unusable(conn)?;
            return Some(Err(Told::Rejected(None)));
        };
        // The request in hand under this id may run: nobody is told that trying again does no harm.
        if !self.ids.insert(read.request) {
            self.unusable(conn)?;
            return Some(Err(Told::Crashed));
        }
        self.given += 1;
        let entry = self.waiting.vacant_entry();
        let waiter = WaiterId(self.given << 20 | entry.key() as u64 & 0xf_ffff);
        let (request, function, class) = (read.request, read.function.name.clone(), read.class);
        entry.insert(Waiting { id: waiter, conn, seqid, request, function, class, came });
        self.clients.get_mut(&conn)?.open.push((seqid, waiter));
        let id = format!("{:016x}", read.request);
        let function = Arc::new(read.function);
        let (name, source) = (function.name.clone(), self.source.clone());
        let identity = Identity { tenant: read.tenant, function: name, source, id: id.as_str().into() };
        let used = Mutex::default();
        let (number, class, key, body) = (read.request, read.class, read.key, submit.owned_body());
        let payload = Arc::new(Work { id, number, class, key, body, used });
        Some(Ok(NewCall { waiter, identity, function, deadline: came + read.timeout, payload }))
    }

    /// The fields of a request, where all of them can be used.
    fn read(&self, submit: &Submit) -> Option<Read> {
        if submit.body.len() > BODY {
            return None;
        }
        let field = |name| submit.fields.iter().find(|(n, _)| *n == name).map(|(_, value)| *value);
        let kind = field("kind")?;
        let class = self.classes.iter().position(|class| class.name == kind)?;
        // Of a platform without tenants all calls count as the first one's.
        let tenant = match self.tenants.is_empty() {
            true => 0,
            false => field("owner").and_then(|owner| self.tenants.iter().position(|name| name == owner))?,
        };
        // Without its key an effect could happen twice: such a call is not taken.
        let key = match (field("opkey"), self.classes[class].keyed) {
            (Some(key), _) => Some(usable_key(key)?.to_owned()),
            (None, keyed) => (!keyed).then_some(None)?,
        };
        let request = hex(field("req")?)?;
        let name: FunctionId = field("subject").filter(|s| hex(s).is_some())?.into();
        let timeout = field("timeout")?.parse::<u64>().ok()?;
        // Nobody waits many times as long as the class allows.
        let most = self.classes[class].deadline.saturating_mul(10);
        // None left is no nonsense: a client's last try may have less than a millisecond.
        let timeout = timeout.checked_mul(1_000).filter(|t| *t <= most)?;
        let mut function = Function { name, class, memory_mb: 0.0, lanes: 0, load: None };
        for (name, value) in field("props")?.split(';').filter_map(|prop| prop.split_once(':')) {
            match name {
                "memory_mb" => function.memory_mb = within(value, self.memory_mb)?,
                "lanes" => function.lanes = within(value, LANES)? as u32,
                "load_ms" => function.load = Some((within(value, SPAN_MS)? * 1_000.0) as Micros),
                _ => {}
            }
        }
        let usable = function.memory_mb > 0.0 && function.lanes > 0;
        usable.then_some(Read { request, tenant, class, key, timeout, function })
    }

    fn take(&mut self, waiter: WaiterId) -> Option<Waiting> {
        self.waiting.get(slot(waiter)).filter(|w| w.id == waiter)?;
        let waiting = self.waiting.try_remove(slot(waiter))?;
        self.ids.remove(&waiting.request);
        Some(waiting)
    }

    /// Writes the engine's final answer; gives the request that it is to.
    pub fn answer(
        &mut self,
        io: &mut Io,
        now: Micros,
        waiter: WaiterId,
        answer: &Answer<Served>,
    ) -> Option<Waiting> {
        let waiting = self.take(waiter)?;
        let conn = waiting.conn;
        if let Some(client) = self.clients.get_mut(&conn) {
            client.open.retain(|(_, w)| *w != waiter);
        }
        if let Some(out) = io.output(conn) {
            let told = match answer {
                Answer::Served(Served(body)) => Told::Answer(body, true),
                Answer::Refused(_, wait) => Told::Rejected(wait.map(|us| us.div_ceil(1_000))),
                Answer::Failed(_) => Told::Crashed,
            };
            write::reply(out, "submit", waiting.seqid, &told);
        }
        self.touch(now, conn);
        Some(waiting)
    }

    /// A worker that takes calls is known. It stays ready when all have gone again: that is no fault of this scheduler,
    /// and another one would serve no more.
    pub fn set_ready(&mut self) {
        self.knows_worker = true;
    }

    /// The scheduler was told to stop; clients come for a while yet.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Ends the connections on which nothing is open, nothing has come and all answers are with the system: they
    /// make room for those that still wait to be accepted. One that is closed has less time to read the rest.
    pub fn end_idle(&mut self, io: &mut Io, now: Micros, stopped: Micros) {
        let idle: Vec<_> = self.idle.iter().map(|(_, conn)| *conn).collect();
        for conn in idle {
            if self.may_close(io, now, conn) {
                if self.clients.get(&conn).is_some_and(|client| client.opened <= stopped) {
                    self.left_at = now;
                }
                self.forget(conn);
                io.close(conn);
            }
        }
    }

    /// Whether no request is on its way on a connection without an open one: none that was cut off by the close of the
    /// connection before, and none that has come in part. That one may come in pieces, but not for long.
    fn may_close(&self, io: &mut Io, now: Micros, conn: ConnId) -> bool {
        let Some(client) = self.clients.get(&conn) else { return false };
        let expected = match (client.began, client.asked) {
            (Some(began), _) => began + CROSSING_US,
            (None, false) => client.used + CROSSING_US,
            (None, true) => 0,
        };
        !client.ready && expected <= now && io.unsent(conn) == 0 && !io.is_stale(conn)
    }

    /// Whether all connections that stood as the scheduler began to turn requests away have been closed, and for so long
    /// that a request that crossed this would have come again. Of those opened since only what has not been asked on a
    /// new one is waited for: clients that go on coming would keep it.
    pub fn has_been_left(&self, now: Micros, stopped: Micros) -> bool {
        let waits = |c: &Client| c.opened <= stopped || !c.asked && now < c.opened + CROSSING_US;
        !self.clients.values().any(waits) && self.left_at + CROSSING_US <= now
    }

    /// Ends connections whose patience is over; gives who waited on them.
    pub fn wake(&mut self, io: &mut Io, now: Micros) -> Vec<WaiterId> {
        let mut left = Vec::new();
        if self.room.is_some_and(|at| at <= now) {
            self.make_room(io, now);
        }
        while let Some((at, conn)) = self.due.due(now) {
            let Some(client) = self.clients.get_mut(&conn).filter(|c| c.armed == at) else { continue };
            client.armed = Micros::MAX;
            let until = client.until;
            if until > now {
                if until < Micros::MAX {
                    self.arm(conn, until);
                }
                continue;
            }
            // What has come on it is looked at first, though the loop was late to be told; the rest of a request that has
            // only begun to come is waited for, but no longer.
            let (looked, rest) = (!client.ready, client.began.map(|began| began + CROSSING_US));
            if let Some(rest) = rest.filter(|rest| *rest > now) {
                self.arm(conn, rest);
                continue;
            }
            if !looked || rest.is_none() && io.is_stale(conn) {
                self.arm(conn, now + LOOKS_US);
                continue;
            }
            let unread = io.unsent(conn) > 0;
            left.extend(self.forget(conn));
            if unread { io.abort(conn) } else { io.close(conn) }
        }
        left
    }
}
