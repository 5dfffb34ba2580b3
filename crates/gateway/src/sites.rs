//! One loop's part in the sites: what is turned away at the door, which calls are handed to another site and how those
//! end. What is decided follows from the tables of the control thread; a table past its end is not heeded.

use crate::kept::{KeptEvents, Then};
use crate::links::{Done, Job, Links};
use crate::tables::{COUNT_US, Fact, LoopEnd, Tables, Word};
use crate::worker_wire::Reply;
use basaltward::{Code, FunctionId, Micros, Repeat, WorkerId};
use basaltward_cloudevents::Event;
use basaltward_config::{Config, LinkConfig, SitesConfig};
use basaltward_engine::{Answer, AttemptEnd, AttemptId, Failure, Identity, NewCall, Refusal, WaiterId};
use basaltward_membership::MemberId;
use basaltward_net::{ConnId, EndReason, Io};
use basaltward_pending::{Key, owner};
use basaltward_shed::{Asked, Door, Ended, ShedSettings, Verdict, Waits};
use basaltward_site_routing::{
    Destination, FunctionCounts, Handover, HandoverOutcome, LoopCounts, Router, handover_deadline,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use tracing::warn;
use xxhash_rust::xxh3::Xxh3Default;

/// What is kept back of a client's time where its call is at the owner of its event, for the answer's way.
const WAY_US: Micros = 8_000;
/// Whoever comes to an owner that does not take events yet is to come again after this.
const NOT_YET_US: Micros = 1_000_000;

/// What becomes of a call that has come back.
pub enum Back {
    /// It is answered.
    Answer(WaiterId, Answer<Reply>),
    /// It is tried here.
    Home(NewCall<Event>),
}

/// What becomes of a call that has come.
pub enum Arrival {
    /// It is answered here.
    Home(NewCall<Event>),
    /// It went to this gateway of another site.
    Away(MemberId),
    /// It is answered at once.
    Answered(Answer<Reply>),
}

/// Whose a call is.
enum Owned {
    Here,
    By(MemberId),
    /// It can't be known, or the owner does not take events yet.
    Nobody,
}

/// A call that another site has, until it ends there or comes home.
struct Away {
    call: NewCall<Event>,
    function: u32,
    to: MemberId,
    began: Micros,
    /// It has gone to the owner of its event, and is not tried here whatever comes.
    owned: bool,
}

/// A call that is answered here.
struct Home {
    function: u32,
    class: usize,
    tenant: usize,
    hash: u64,
    came: Micros,
}

/// See the module's page.
pub struct Sites {
    config: Arc<SitesConfig>,
    tables: Arc<Tables>,
    rings: LoopEnd,
    /// Events of kept classes, where there are any.
    pub kept: Option<KeptEvents>,
    /// Attempts that wait until they are held.
    jobs: HashMap<AttemptId, (WorkerId, Job)>,
    links: Links,
    /// Their fronts, by number.
    fronts: Vec<WorkerId>,
    router: Router,
    door: Door,
    aims: Vec<Micros>,
    repeats: Vec<Repeat>,
    positions: HashMap<FunctionId, u32>,
    away: HashMap<WaiterId, Away>,
    home: HashMap<WaiterId, Home>,
    /// Attempts that are out, with their function and when they began.
    out: HashMap<AttemptId, (u32, Micros)>,
    /// What a run of a function takes where nothing waits, by position: the shortest of late.
    runs: HashMap<u32, Micros>,
    waits: Waits,
    counts: BTreeMap<u32, FunctionCounts>,
    since: Micros,
    workers: u32,
    /// Facts that were let go, as last told.
    lost: u64,
    /// How late this loop lately was, which comes off the time of whoever waits for another gateway.
    pub lateness: Micros,
}

/// A digest of an event's name that is the same at all gateways.
pub fn digest(identity: &Identity) -> u128 {
    let mut hash = Xxh3Default::new();
    // Lengths keep two names apart whose parts join to the same bytes.
    for part in [identity.function.as_str(), &identity.source, &identity.id] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(&(identity.tenant as u64).to_le_bytes());
    hash.digest128()
}

fn hops(event: &Event) -> bool {
    event.extension(crate::front::extensions::HOPS).is_some_and(|told| told.to_string() != "0")
}

impl Sites {
    /// A loop's part, where the settings name sites.
    pub fn new(
        config: &Config,
        shed: &ShedSettings,
        thread: u32,
        (tables, rings): (Arc<Tables>, LoopEnd),
        now: Micros,
    ) -> Option<Self> {
        let sites = Arc::new(config.sites.clone()?);
        let link =
            LinkConfig { response_bytes: config.front.body_bytes.max(1 << 20), ..config.links.clone() };
        let front = |peer: &basaltward_config::SitePeerConfig| peer.front.to_string().as_str().into();
        let seed = u64::from(sites.own) << 32 | u64::from(thread);
        let classes = config.kept.iter().copied().zip(config.module.classes.iter().map(|class| class.repeat));
        let kept = KeptEvents::new(classes.collect(), sites.journal.entry_bytes, config.repeats.guards);
        let positions = config.functions.iter().zip(0..).map(|(f, at)| (f.name.clone(), at));
        Some(Self {
            links: Links::new(config.name.clone(), link, Vec::new()),
            fronts: sites.peers.iter().map(front).collect(),
            router: Router::new(shed.places.clone(), seed),
            door: Door::new(now, shed.clone(), thread as usize),
            aims: config.module.classes.iter().map(|class| class.aim).collect(),
            repeats: config.module.classes.iter().map(|class| class.repeat).collect(),
            positions: positions.collect(),
            config: sites,
            tables,
            rings,
            kept,
            jobs: HashMap::new(),
            away: HashMap::new(),
            home: HashMap::new(),
            out: HashMap::new(),
            runs: HashMap::new(),
            waits: Waits::default(),
            counts: BTreeMap::new(),
            since: now,
            workers: 0,
            lost: 0,
            lateness: 0,
        })
    }

    /// When [`Sites::wake`] is due next.
    pub fn next_due(&self) -> Micros {
        let kept = self.kept.as_ref().and_then(KeptEvents::next_due);
        let due = self.links.next_due().into_iter().chain(kept).min();
        due.unwrap_or(Micros::MAX).min(self.since + COUNT_US)
    }

    /// Whether no call of ours is at another site.
    pub fn is_empty(&self) -> bool {
        self.away.is_empty()
    }

    /// Whether this connection is one to another site.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.links.owns(conn)
    }

    /// The name of a peer, for records.
    pub fn name(&self, of: MemberId) -> &str {
        self.config.peers.get(usize::from(of)).map_or("", |peer| &peer.name)
    }

    fn counted(&mut self, function: u32) -> &mut FunctionCounts {
        self.counts.entry(function).or_insert(FunctionCounts { function, ..FunctionCounts::default() })
    }

    /// A call has come from a client, or from another site.
    pub fn arrived(&mut self, io: &mut Io, now: Micros, call: NewCall<Event>) -> Arrival {
        let Some(&function) = self.positions.get(&call.function.name) else { return Arrival::Home(call) };
        let class = call.function.class;
        let handed = hops(&call.payload);
        if !handed {
            self.counted(function).calls += 1;
        }
        match self.owned(now, &call) {
            Some(Owned::Nobody) => return Arrival::Answered(Answer::Failed(Failure::OwnerUnreachable)),
            Some(Owned::By(_)) if handed => {
                return Arrival::Answered(Answer::Failed(Failure::OwnerUnreachable));
            }
            // Its owner has the door: nobody else knows whether it is in hand.
            Some(Owned::By(owner)) => {
                let until = call.deadline.saturating_sub(WAY_US + self.lateness);
                return self.hand(io, now, call, (function, owner), (until, true));
            }
            Some(Owned::Here) | None => {}
        }
        // What may not simply run again stays with the gateway that knows its repeats.
        let may_leave = self.config.hand_over && self.repeats[class] == Repeat::Safe && !handed;
        if may_leave {
            let left = call.deadline.saturating_sub(now);
            let table = self.tables.route.load();
            let there = self.router.choose(now, table.as_deref(), function, left, handed);
            if let Destination::Remote { peer, .. } = there {
                let row = table.as_ref().and_then(|t| t.rows.get(function as usize));
                let until = handover_deadline(now, call.deadline, row.map_or(0, |row| row.local_latency));
                return self.hand(io, now, call, (function, peer), (until, false));
            }
        }
        match self.begins(now, function, &call, handed) {
            Ok(()) => Arrival::Home(call),
            Err(answer) => Arrival::Answered(answer),
        }
    }

    /// The door stands where a call is to be worked: one that was handed over meets that of the other site first.
    fn begins(
        &mut self,
        now: Micros,
        function: u32,
        call: &NewCall<Event>,
        handed: bool,
    ) -> Result<(), Answer<Reply>> {
        if let Some(wait) = self.sheds(now, call, handed) {
            return Err(Answer::Refused(Refusal::Overload, Some(wait)));
        }
        self.keep(now, function, call);
        Ok(())
    }

    /// How long a call is to stay away, where the door turns it away. A repeat of an event that may be in hand or have run
    /// is never turned away: that would say that it has not.
    fn sheds(&mut self, now: Micros, call: &NewCall<Event>, handed: bool) -> Option<Micros> {
        if !self.config.shed {
            return None;
        }
        let (class, tenant) = (call.function.class, call.identity.tenant);
        let (hash, guarded) = (digest(&call.identity) as u64, self.repeats[class] != Repeat::Safe);
        let asked = match handed {
            _ if guarded && self.tables.begun.may_contain(hash) => Asked::Owed,
            true => Asked::HandedOver,
            false => Asked::First,
        };
        let table = self.tables.shed.load();
        match self.door.ask(now, table.as_deref(), class, tenant, asked, hash) {
            Verdict::Shed(wait) => Some(wait),
            Verdict::Take => {
                if guarded {
                    self.tables.begun.record(now, hash);
                }
                None
            }
        }
    }

    fn keep(&mut self, now: Micros, function: u32, call: &NewCall<Event>) {
        let (class, tenant) = (call.function.class, call.identity.tenant);
        self.counted(function).in_flight += 1;
        let hash = digest(&call.identity) as u64;
        self.home.insert(call.waiter, Home { function, class, tenant, hash, came: now });
    }

    /// Whose a call is, where its event has one owner over all sites: one of a kept class that may not simply run again.
    fn owned(&self, now: Micros, call: &NewCall<Event>) -> Option<Owned> {
        let class = call.function.class;
        if self.repeats[class] == Repeat::Safe || !self.kept.as_ref()?.keeps(class) {
            return None;
        }
        let owners = self.tables.owners.load();
        let Some(owners) = owners.as_deref().filter(|owners| now < owners.until) else {
            return Some(Owned::Nobody);
        };
        Some(match owner(Key(digest(&call.identity)), &owners.taken) {
            Some(of) if of != self.config.own => Owned::By(of),
            Some(_) if owners.ready => Owned::Here,
            _ => Owned::Nobody,
        })
    }

    fn hand(
        &mut self,
        io: &mut Io,
        now: Micros,
        call: NewCall<Event>,
        (function, to): (u32, MemberId),
        (until, owned): (Micros, bool),
    ) -> Arrival {
        let job = Job::Hand {
            waiter: call.waiter,
            event: call.payload.clone(),
            function: call.function.clone(),
            until,
        };
        let Some(front) = self.fronts.get(usize::from(to)).cloned() else { return Arrival::Home(call) };
        let waiter = call.waiter;
        self.away.insert(waiter, Away { call, function, to, began: now, owned });
        match self.links.start(io, now, &front, job) {
            Some(Done::Handed(waiter, end)) => match self.handed(now, waiter, end) {
                Some(Back::Home(call)) => Arrival::Home(call),
                Some(Back::Answer(_, answer)) => Arrival::Answered(answer),
                None => Arrival::Away(to),
            },
            _ => Arrival::Away(to),
        }
    }

    /// A call has ended at another gateway.
    fn handed(&mut self, now: Micros, waiter: WaiterId, end: AttemptEnd<Reply>) -> Option<Back> {
        let Away { call, function, to, began, owned } = self.away.remove(&waiter)?;
        if let (true, code) = (owned, end.code) {
            return Some(Back::Answer(
                waiter,
                match end.reply {
                    Some(reply) => Answer::Served(reply),
                    // The owner's own word; of one that was not reached nothing is known, as this may be a repeat.
                    None if matches!(code, Code::Full | Code::Miss) => {
                        Answer::Refused(Refusal::NotReplicated, Some(NOT_YET_US))
                    }
                    None if code == Code::Unknown => Answer::Failed(Failure::MayHaveRun),
                    None => Answer::Failed(Failure::OwnerUnreachable),
                },
            ));
        }
        let took = now.saturating_sub(began);
        let how = match end.code {
            Code::Ok => HandoverOutcome::Served,
            Code::Full | Code::Miss => HandoverOutcome::Refused,
            Code::ConnectFailed => HandoverOutcome::Unreached,
            _ => HandoverOutcome::Lost,
        };
        let told = Handover { function, to, duration: took, outcome: how };
        self.router.handover_ended(now, &told);
        self.rings.facts.tell(Fact::Handed(told));
        Some(match end.reply {
            Some(reply) => Back::Answer(waiter, Answer::Served(reply)),
            None => match self.begins(now, function, &call, false) {
                Ok(()) => Back::Home(call),
                Err(answer) => Back::Answer(waiter, answer),
            },
        })
    }

    /// Takes a link's end of a job.
    pub fn done(&mut self, now: Micros, done: Done) -> Option<Back> {
        match done {
            Done::Handed(waiter, end) => self.handed(now, waiter, end),
            _ => None,
        }
    }

    /// See [`Links::connected`].
    pub fn connected(&mut self, io: &mut Io, now: Micros, conn: ConnId) -> Option<Done> {
        let done = self.links.connected(io, now, conn);
        self.links.sent.clear();
        done
    }

    /// Holds a job back until its attempt may leave.
    pub fn park(&mut self, attempt: AttemptId, worker: WorkerId, job: Job) {
        self.jobs.insert(attempt, (worker, job));
    }

    /// A job that was held back.
    pub fn unpark(&mut self, attempt: AttemptId) -> Option<(WorkerId, Job)> {
        self.jobs.remove(&attempt)
    }

    /// Gives the control thread the steps that it has room for, and takes its words.
    pub fn words(&mut self) -> Vec<Word> {
        if let Some(kept) = &mut self.kept {
            let before = kept.steps.len();
            while let Some(step) = kept.steps.pop_front() {
                if let Err(rtrb::PushError::Full(step)) = self.rings.steps.push(step) {
                    kept.steps.push_front(step);
                    break;
                }
            }
            if kept.steps.len() < before {
                self.rings.control.wake();
            }
        }
        std::iter::from_fn(|| self.rings.words.pop().ok()).collect()
    }

    /// What is due of kept events.
    pub fn kept_due(&mut self, now: Micros) -> Vec<Then> {
        self.kept.as_mut().map(|kept| kept.wake(now)).unwrap_or_default()
    }

    /// See [`Links::data`].
    pub fn data(&mut self, io: &mut Io, now: Micros, conn: ConnId) -> Option<Done> {
        self.links.data(io, now, conn)
    }

    /// See [`Links::ended`].
    pub fn ended(&mut self, io: &mut Io, now: Micros, conn: ConnId, how: EndReason) -> Option<Done> {
        self.links.ended(io, now, conn, how)
    }

    /// A client has left: true where its call was at another site, which is told by the connection's end.
    pub fn left(&mut self, io: &mut Io, now: Micros, waiter: WaiterId) -> bool {
        self.answered(waiter, Some(Ended::Failed));
        let Some(Away { function, to, began, owned, .. }) = self.away.remove(&waiter) else { return false };
        self.links.abort_handed(io, waiter);
        if owned {
            return true;
        }
        // Nothing is known of it: counted as lost it would speak against a site that did nothing wrong.
        let took = now.saturating_sub(began);
        self.router.handover_ended(
            now,
            &Handover { function, to, duration: took, outcome: HandoverOutcome::Refused },
        );
        true
    }

    /// A call that was answered here has its answer: gives it as the client is to have it.
    pub fn gave(&mut self, now: Micros, waiter: WaiterId, answer: Answer<Reply>) -> Answer<Reply> {
        let Some(home) = self.home.get(&waiter) else { return answer };
        let took = now.saturating_sub(home.came);
        let (function, class, tenant, hash) = (home.function, home.class, home.tenant, home.hash);
        let mut answer = answer;
        if matches!(answer, Answer::Served(_)) {
            let counted = self.counted(function);
            (counted.served, counted.total_time) = (counted.served + 1, counted.total_time + took);
            // All queues on the way are a wait, those at workers too.
            let waited = took.saturating_sub(self.runs.get(&function).copied().unwrap_or(took));
            let waited = self.waits.answered(now, function, now - took, waited);
            let in_aim = took <= self.aims[class];
            self.answered(waiter, Some(if in_aim { Ended::Served(waited) } else { Ended::Late(waited) }));
        } else if let (Answer::Refused(Refusal::Overload, wait), true) = (&mut answer, self.config.shed) {
            // Those that are refused after the door would all come back at once.
            let table = self.tables.shed.load();
            let later = self.door.refused(now, table.as_deref(), class, tenant, hash);
            *wait = Some(wait.unwrap_or(0).max(later));
            self.answered(waiter, None);
        } else {
            self.answered(waiter, Some(Ended::Failed));
        }
        answer
    }

    /// A call is no longer in hand; how it ended, where the door has not counted it yet.
    fn answered(&mut self, waiter: WaiterId, ended: Option<Ended>) {
        let Some(home) = self.home.remove(&waiter) else { return };
        let counted = self.counted(home.function);
        counted.in_flight = counted.in_flight.saturating_sub(1);
        if let Some(ended) = ended {
            self.door.counted(home.class, home.tenant, ended);
        }
    }

    /// An attempt goes to a worker.
    pub fn started(&mut self, now: Micros, attempt: AttemptId, function: &FunctionId) {
        if let Some(at) = self.positions.get(function) {
            self.out.insert(attempt, (*at, now));
        }
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, now: Micros, attempt: AttemptId, end: &AttemptEnd<Reply>) {
        let Some((function, began)) = self.out.remove(&attempt) else { return };
        if end.code == Code::Ok && end.copy == basaltward::CopyStatus::Loaded {
            self.counted(function).warm_starts += 1;
            let (took, run) = (now.saturating_sub(began), self.runs.entry(function).or_insert(Micros::MAX));
            // A hundredth up with each: what takes longer from now on is believed in time.
            *run = run.saturating_add(*run / 100).min(took);
        }
    }

    /// So many workers are in use.
    pub fn workers(&mut self, count: usize) {
        self.workers = count as u32;
    }

    /// Does what is due; gives the ends of jobs.
    pub fn wake(&mut self, io: &mut Io, now: Micros) -> Vec<Done> {
        let mut done = Vec::new();
        self.links.wake(io, now, &mut done);
        if now >= self.since + COUNT_US {
            let span = now - std::mem::replace(&mut self.since, now);
            let in_hand = self.home.len() as u32;
            let by: Vec<_> = self.counts.values().copied().collect();
            // What is in hand stays counted; the rest is of this span.
            self.counts.retain(|_, counted| {
                *counted = FunctionCounts {
                    function: counted.function,
                    in_flight: counted.in_flight,
                    ..FunctionCounts::default()
                };
                counted.in_flight > 0
            });
            self.rings.facts.tell(Fact::Routed(LoopCounts {
                span,
                functions: by,
                in_flight: in_hand,
                workers: self.workers,
            }));
            self.rings.facts.tell(Fact::Asked(self.door.take(now, in_hand)));
            let lost = self.rings.facts.lost();
            if std::mem::replace(&mut self.lost, lost) < lost {
                warn!(lost, "the control thread stands still: counts are let go");
            }
        }
        done
    }
}
