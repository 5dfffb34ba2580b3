//! One loop's part in a deployment of several sites: which calls are shed on admission, which are handed over to
//! another site, and how those end. Decisions follow the tables of the control thread; an expired table is not used.

use crate::links::{Job, JobEnd, Links};
use crate::replicated::{Action, ReplicatedEvents};
use crate::tables::{ControlMessage, LoopEnd, LoopReport, REPORT_INTERVAL_US, Tables};
use crate::worker_wire::Reply;
use basaltward::{Code, FunctionId, Micros, Repeat, WorkerId};
use basaltward_admission::{
    AdmissionSettings, AttemptKind, CallOutcome, Decision, LoopLimiter, WaitEstimator,
};
use basaltward_cloudevents::Event;
use basaltward_config::{Config, LinkConfig, SitesConfig};
use basaltward_engine::{Answer, AttemptEnd, AttemptId, Failure, Identity, NewCall, Refusal, WaiterId};
use basaltward_membership::MemberId;
use basaltward_net::{ConnId, EndReason, Io};
use basaltward_pending::{Key, owner};
use basaltward_site_routing::{
    Destination, FunctionCounts, Handover, HandoverOutcome, LoopCounts, Router, handover_deadline,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use tracing::warn;
use xxhash_rust::xxh3::Xxh3Default;

/// Time reserved for the answer's path back when a call is at the owner of its event; the owner must answer earlier by
/// this.
const ANSWER_RESERVE_US: Micros = 8_000;
/// Retry delay reported to a client if the owner of its event does not accept events yet.
const OWNER_NOT_READY_RETRY_US: Micros = 1_000_000;

/// The next step after the end of a handed-over call.
pub enum HandOverResult {
    /// The client is answered.
    Answer(WaiterId, Answer<Reply>),
    /// The call is run at this site.
    RunLocally(NewCall<Event>),
}

/// The next step after the arrival of a call.
pub enum Arrival {
    /// The call is handled at this site.
    Local(NewCall<Event>),
    /// The call was handed over to this gateway of another site.
    HandedOver(MemberId),
    /// The client is answered at once.
    Answered(Answer<Reply>),
}

/// The gateway that owns an event.
enum EventOwner {
    Local,
    Member(MemberId),
    /// The owner can't be determined, or it does not accept events yet.
    Unknown,
}

/// A call handed over to another site, until it ends there or is run at this site.
struct RemoteCall {
    call: NewCall<Event>,
    function: u32,
    to: MemberId,
    began: Micros,
    /// It was sent to the owner of its event, so it is never run here, whatever its result.
    to_owner: bool,
}

/// A call handled at this site.
struct LocalCall {
    function: u32,
    class: usize,
    tenant: usize,
    /// Digest of its event's identity, shortened.
    hash: u64,
    arrived_at: Micros,
}

/// A loop's state of calls at this and other sites.
pub struct Sites {
    config: Arc<SitesConfig>,
    tables: Arc<Tables>,
    rings: LoopEnd,
    /// Replicated events, if any class is replicated.
    pub replicated: Option<ReplicatedEvents>,
    /// Jobs of attempts that wait until their journal entry is replicated.
    parked_jobs: HashMap<AttemptId, (WorkerId, Job)>,
    /// Connections to gateways of other sites.
    links: Links,
    /// Addresses of the gateways' HTTP listeners, by member number.
    gateway_addresses: Vec<WorkerId>,
    router: Router,
    admission: LoopLimiter,
    /// Target time of each class, in microseconds.
    aims: Vec<Micros>,
    /// Whether calls may run again, by class.
    repeats: Vec<Repeat>,
    /// Index of each function in the settings.
    function_indexes: HashMap<FunctionId, u32>,
    remote_calls: HashMap<WaiterId, RemoteCall>,
    local_calls: HashMap<WaiterId, LocalCall>,
    /// Attempts in flight, with the index of their function and their start.
    attempts: HashMap<AttemptId, (u32, Micros)>,
    /// Time that a run takes without queueing, by function index: the shortest recent one.
    run_times: HashMap<u32, Micros>,
    wait_estimates: WaitEstimator,
    /// Counts since the last report, by function index.
    counts: BTreeMap<u32, FunctionCounts>,
    /// Time of the last report.
    reported_at: Micros,
    active_workers: u32,
    /// Number of dropped reports at the last warning.
    dropped_reports: u64,
    /// Recent lateness of this loop, which is subtracted from the time that another gateway gets for a call.
    pub lateness: Micros,
}

/// Digest of an event's identity, the same at all gateways.
pub fn digest(identity: &Identity) -> u128 {
    let mut hash = Xxh3Default::new();
    // Hashes the lengths too: identities whose parts concatenate to the same bytes must differ.
    for part in [identity.function.as_str(), &identity.source, &identity.id] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(&(identity.tenant as u64).to_le_bytes());
    hash.digest128()
}

/// Whether a gateway of another site has handed this event over.
fn was_handed_over(event: &Event) -> bool {
    event.extension(crate::front::extensions::HOPS).is_some_and(|hops| hops.to_string() != "0")
}

impl Sites {
    /// State without calls; `None` if the settings name no sites.
    pub fn new(
        config: &Config,
        shed: &AdmissionSettings,
        thread: u32,
        (tables, rings): (Arc<Tables>, LoopEnd),
        now: Micros,
    ) -> Option<Self> {
        let sites = Arc::new(config.sites.clone()?);
        let link = LinkConfig {
            response_bytes: config.client_limits.body_bytes.max(1 << 20),
            ..config.links.clone()
        };
        let address =
            |peer: &basaltward_config::SitePeerConfig| peer.client_address.to_string().as_str().into();
        let seed = u64::from(sites.own_index) << 32 | u64::from(thread);
        let classes = config
            .replication
            .iter()
            .copied()
            .zip(config.controller.classes.iter().map(|class| class.repeat));
        let replicated = ReplicatedEvents::new(
            classes.collect(),
            sites.journal.max_entry_bytes,
            config.repeats.guards_per_tenant,
        );
        let function_indexes = config.functions.iter().zip(0..).map(|(f, index)| (f.name.clone(), index));
        Some(Self {
            links: Links::new(config.name.clone(), link, Vec::new()),
            gateway_addresses: sites.peers.iter().map(address).collect(),
            router: Router::new(shed.site_map.clone(), seed),
            admission: LoopLimiter::new(now, shed.clone(), thread as usize),
            aims: config.controller.classes.iter().map(|class| class.aim).collect(),
            repeats: config.controller.classes.iter().map(|class| class.repeat).collect(),
            function_indexes: function_indexes.collect(),
            config: sites,
            tables,
            rings,
            replicated,
            parked_jobs: HashMap::new(),
            remote_calls: HashMap::new(),
            local_calls: HashMap::new(),
            attempts: HashMap::new(),
            run_times: HashMap::new(),
            wait_estimates: WaitEstimator::default(),
            counts: BTreeMap::new(),
            reported_at: now,
            active_workers: 0,
            dropped_reports: 0,
            lateness: 0,
        })
    }

    /// When [`Sites::wake`] is due next.
    pub fn next_due(&self) -> Micros {
        let replicated = self.replicated.as_ref().and_then(ReplicatedEvents::next_due);
        let due = self.links.next_due().into_iter().chain(replicated).min();
        due.unwrap_or(Micros::MAX).min(self.reported_at + REPORT_INTERVAL_US)
    }

    /// Whether no call of this loop is at another site.
    pub fn is_empty(&self) -> bool {
        self.remote_calls.is_empty()
    }

    /// Whether this connection is one to another site.
    pub fn owns(&self, conn: ConnId) -> bool {
        self.links.owns(conn)
    }

    /// The name of a peer, for records.
    pub fn name(&self, member: MemberId) -> &str {
        self.config.peers.get(usize::from(member)).map_or("", |peer| &peer.name)
    }

    /// The counts of a function since the last report.
    fn counts_of(&mut self, function: u32) -> &mut FunctionCounts {
        self.counts.entry(function).or_insert(FunctionCounts { function, ..FunctionCounts::default() })
    }

    /// Routes a call that arrived from a client or from another site.
    pub fn call_arrived(&mut self, io: &mut Io, now: Micros, call: NewCall<Event>) -> Arrival {
        let Some(&function) = self.function_indexes.get(&call.function.name) else {
            return Arrival::Local(call);
        };
        let class = call.function.class;
        let handed_over = was_handed_over(&call.payload);
        if !handed_over {
            self.counts_of(function).calls += 1;
        }
        match self.event_owner(now, &call) {
            Some(EventOwner::Unknown) => return Arrival::Answered(Answer::Failed(Failure::OwnerUnreachable)),
            Some(EventOwner::Member(_)) if handed_over => {
                return Arrival::Answered(Answer::Failed(Failure::OwnerUnreachable));
            }
            // Admission is left to the owner, which alone has the record of whether the event is already in flight.
            Some(EventOwner::Member(owner)) => {
                let until = call.deadline.saturating_sub(ANSWER_RESERVE_US + self.lateness);
                return self.hand_over(io, now, call, (function, owner), (until, true));
            }
            Some(EventOwner::Local) | None => {}
        }
        // A keyed or unsafe call stays with the gateway that recognises its repeats.
        let may_hand_over = self.config.hand_over && self.repeats[class] == Repeat::Safe && !handed_over;
        if may_hand_over {
            let remaining = call.deadline.saturating_sub(now);
            let table = self.tables.route.load();
            let target = self.router.choose(now, table.as_deref(), function, remaining, handed_over);
            if let Destination::Remote { peer, .. } = target {
                let row = table.as_ref().and_then(|t| t.rows.get(function as usize));
                let until = handover_deadline(now, call.deadline, row.map_or(0, |row| row.local_latency));
                return self.hand_over(io, now, call, (function, peer), (until, false));
            }
        }
        match self.admit_local(now, function, &call, handed_over) {
            Ok(()) => Arrival::Local(call),
            Err(answer) => Arrival::Answered(answer),
        }
    }

    /// Admits a call at this site. Admission takes place where a call is run: one that was handed over is subject to
    /// the admission of the other site first.
    fn admit_local(
        &mut self,
        now: Micros,
        function: u32,
        call: &NewCall<Event>,
        handed_over: bool,
    ) -> Result<(), Answer<Reply>> {
        if let Some(retry_after) = self.shed_retry_after(now, call, handed_over) {
            return Err(Answer::Refused(Refusal::Overload, Some(retry_after)));
        }
        self.track_local(now, function, call);
        Ok(())
    }

    /// The retry delay of a call that is shed, `None` if it is admitted. A repeat of an event that may be in flight
    /// or have run is never shed, because the refusal would claim that it has not run.
    fn shed_retry_after(&mut self, now: Micros, call: &NewCall<Event>, handed_over: bool) -> Option<Micros> {
        if !self.config.shed {
            return None;
        }
        let (class, tenant) = (call.function.class, call.identity.tenant);
        let (hash, guarded) = (digest(&call.identity) as u64, self.repeats[class] != Repeat::Safe);
        let kind = match handed_over {
            _ if guarded && self.tables.admitted.may_contain(hash) => AttemptKind::Exempt,
            true => AttemptKind::HandedOver,
            false => AttemptKind::First,
        };
        let table = self.tables.shed.load();
        match self.admission.admit(now, table.as_deref(), class, tenant, kind, hash) {
            Decision::Shed(retry_after) => Some(retry_after),
            Decision::Admit => {
                if guarded {
                    self.tables.admitted.record(now, hash);
                }
                None
            }
        }
    }

    /// Adds a call to those in flight at this site.
    fn track_local(&mut self, now: Micros, function: u32, call: &NewCall<Event>) {
        let (class, tenant) = (call.function.class, call.identity.tenant);
        self.counts_of(function).in_flight += 1;
        let hash = digest(&call.identity) as u64;
        self.local_calls.insert(call.waiter, LocalCall { function, class, tenant, hash, arrived_at: now });
    }

    /// The owner of a call's event. Only keyed and unsafe events of replicated classes have a single owner over all
    /// sites; `None` for all others.
    fn event_owner(&self, now: Micros, call: &NewCall<Event>) -> Option<EventOwner> {
        let class = call.function.class;
        if self.repeats[class] == Repeat::Safe || !self.replicated.as_ref()?.is_replicated_class(class) {
            return None;
        }
        let owners = self.tables.owners.load();
        let Some(owners) = owners.as_deref().filter(|owners| now < owners.valid_until) else {
            return Some(EventOwner::Unknown);
        };
        Some(match owner(Key(digest(&call.identity)), &owners.taken_over) {
            Some(member) if member != self.config.own_index => EventOwner::Member(member),
            Some(_) if owners.accepts => EventOwner::Local,
            _ => EventOwner::Unknown,
        })
    }

    /// Hands a call over to a gateway of another site, which must answer before `until`.
    fn hand_over(
        &mut self,
        io: &mut Io,
        now: Micros,
        call: NewCall<Event>,
        (function, to): (u32, MemberId),
        (until, to_owner): (Micros, bool),
    ) -> Arrival {
        let job = Job::HandOver {
            waiter: call.waiter,
            event: call.payload.clone(),
            function: call.function.clone(),
            until,
        };
        let Some(address) = self.gateway_addresses.get(usize::from(to)).cloned() else {
            return Arrival::Local(call);
        };
        let waiter = call.waiter;
        self.remote_calls.insert(waiter, RemoteCall { call, function, to, began: now, to_owner });
        match self.links.start(io, now, &address, job) {
            Some(JobEnd::HandedOver(waiter, end)) => match self.handed_over_ended(now, waiter, end) {
                Some(HandOverResult::RunLocally(call)) => Arrival::Local(call),
                Some(HandOverResult::Answer(_, answer)) => Arrival::Answered(answer),
                None => Arrival::HandedOver(to),
            },
            _ => Arrival::HandedOver(to),
        }
    }

    /// A handed-over call has ended at the other gateway, or could not be sent.
    fn handed_over_ended(
        &mut self,
        now: Micros,
        waiter: WaiterId,
        end: AttemptEnd<Reply>,
    ) -> Option<HandOverResult> {
        let RemoteCall { call, function, to, began, to_owner } = self.remote_calls.remove(&waiter)?;
        if let (true, code) = (to_owner, end.code) {
            return Some(HandOverResult::Answer(
                waiter,
                match end.reply {
                    Some(reply) => Answer::Served(reply),
                    // The owner itself refused it. If the owner was not reached, nothing is known, as this may be a
                    // repeat.
                    None if matches!(code, Code::Full | Code::Miss) => {
                        Answer::Refused(Refusal::NotReplicated, Some(OWNER_NOT_READY_RETRY_US))
                    }
                    None if code == Code::Unknown => Answer::Failed(Failure::MayHaveRun),
                    None => Answer::Failed(Failure::OwnerUnreachable),
                },
            ));
        }
        let duration = now.saturating_sub(began);
        let outcome = match end.code {
            Code::Ok => HandoverOutcome::Served,
            Code::Full | Code::Miss => HandoverOutcome::Refused,
            Code::ConnectFailed => HandoverOutcome::Unreached,
            _ => HandoverOutcome::Lost,
        };
        let handover = Handover { function, to, duration, outcome };
        self.router.handover_ended(now, &handover);
        self.rings.reports.send(LoopReport::HandedOver(handover));
        Some(match end.reply {
            Some(reply) => HandOverResult::Answer(waiter, Answer::Served(reply)),
            None => match self.admit_local(now, function, &call, false) {
                Ok(()) => HandOverResult::RunLocally(call),
                Err(answer) => HandOverResult::Answer(waiter, answer),
            },
        })
    }

    /// Handles the end of a job on a connection to another site.
    pub fn job_ended(&mut self, now: Micros, end: JobEnd) -> Option<HandOverResult> {
        match end {
            JobEnd::HandedOver(waiter, end) => self.handed_over_ended(now, waiter, end),
            _ => None,
        }
    }

    /// See [`Links::connected`]. Sent jobs are not recorded here.
    pub fn connected(&mut self, io: &mut Io, now: Micros, conn: ConnId) -> Option<JobEnd> {
        let end = self.links.connected(io, now, conn);
        self.links.sent.clear();
        end
    }

    /// Parks the job of an attempt until the attempt may be sent.
    pub fn park(&mut self, attempt: AttemptId, worker: WorkerId, job: Job) {
        self.parked_jobs.insert(attempt, (worker, job));
    }

    /// Takes the parked job of an attempt.
    pub fn unpark(&mut self, attempt: AttemptId) -> Option<(WorkerId, Job)> {
        self.parked_jobs.remove(&attempt)
    }

    /// Sends the control thread as many journal steps as its ring has capacity for, and returns its messages.
    pub fn exchange_control(&mut self) -> Vec<ControlMessage> {
        if let Some(replicated) = &mut self.replicated {
            let before = replicated.steps.len();
            while let Some(step) = replicated.steps.pop_front() {
                if let Err(rtrb::PushError::Full(step)) = self.rings.steps.push(step) {
                    replicated.steps.push_front(step);
                    break;
                }
            }
            if replicated.steps.len() < before {
                self.rings.control_waker.wake();
            }
        }
        std::iter::from_fn(|| self.rings.messages.pop().ok()).collect()
    }

    /// Runs the due timers of replicated events.
    pub fn wake_replicated(&mut self, now: Micros) -> Vec<Action> {
        self.replicated.as_mut().map(|replicated| replicated.wake(now)).unwrap_or_default()
    }

    /// See [`Links::data`].
    pub fn data(&mut self, io: &mut Io, now: Micros, conn: ConnId) -> Option<JobEnd> {
        self.links.data(io, now, conn)
    }

    /// See [`Links::ended`].
    pub fn ended(&mut self, io: &mut Io, now: Micros, conn: ConnId, reason: EndReason) -> Option<JobEnd> {
        self.links.ended(io, now, conn, reason)
    }

    /// A client has disconnected. Returns true if its call was at another site, which is notified by closing the
    /// connection.
    pub fn client_left(&mut self, io: &mut Io, now: Micros, waiter: WaiterId) -> bool {
        self.local_call_ended(waiter, Some(CallOutcome::Failed));
        let Some(RemoteCall { function, to, began, to_owner, .. }) = self.remote_calls.remove(&waiter) else {
            return false;
        };
        self.links.abort_handed_over(io, waiter);
        if to_owner {
            return true;
        }
        // The result is unknown. Counted as lost, it would lower the rating of a site that did nothing wrong.
        let duration = now.saturating_sub(began);
        self.router
            .handover_ended(now, &Handover { function, to, duration, outcome: HandoverOutcome::Refused });
        true
    }

    /// A call handled at this site has its answer. Returns the answer for the client, in which a refusal may have a
    /// longer retry delay.
    pub fn answer_ready(&mut self, now: Micros, waiter: WaiterId, answer: Answer<Reply>) -> Answer<Reply> {
        let Some(local) = self.local_calls.get(&waiter) else { return answer };
        let elapsed = now.saturating_sub(local.arrived_at);
        let (function, class, tenant, hash) = (local.function, local.class, local.tenant, local.hash);
        let mut answer = answer;
        if matches!(answer, Answer::Served(_)) {
            let counts = self.counts_of(function);
            (counts.served, counts.total_time) = (counts.served + 1, counts.total_time + elapsed);
            // The wait includes every queue of the call's path, those at workers too.
            let waited = elapsed.saturating_sub(self.run_times.get(&function).copied().unwrap_or(elapsed));
            let waited = self.wait_estimates.record(now, function, now - elapsed, waited);
            let in_aim = elapsed <= self.aims[class];
            self.local_call_ended(
                waiter,
                Some(if in_aim { CallOutcome::Served(waited) } else { CallOutcome::Late(waited) }),
            );
        } else if let (Answer::Refused(Refusal::Overload, wait), true) = (&mut answer, self.config.shed) {
            // Without a delay all calls refused after admission would be retried at once.
            let table = self.tables.shed.load();
            let later = self.admission.record_refusal(now, table.as_deref(), class, tenant, hash);
            *wait = Some(wait.unwrap_or(0).max(later));
            self.local_call_ended(waiter, None);
        } else {
            self.local_call_ended(waiter, Some(CallOutcome::Failed));
        }
        answer
    }

    /// A call is no longer in flight here. `outcome` is its result, `None` if admission has counted it already.
    fn local_call_ended(&mut self, waiter: WaiterId, outcome: Option<CallOutcome>) {
        let Some(local) = self.local_calls.remove(&waiter) else { return };
        let counts = self.counts_of(local.function);
        counts.in_flight = counts.in_flight.saturating_sub(1);
        if let Some(outcome) = outcome {
            self.admission.record_outcome(local.class, local.tenant, outcome);
        }
    }

    /// An attempt is about to be sent to a worker.
    pub fn attempt_started(&mut self, now: Micros, attempt: AttemptId, function: &FunctionId) {
        if let Some(index) = self.function_indexes.get(function) {
            self.attempts.insert(attempt, (*index, now));
        }
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, now: Micros, attempt: AttemptId, end: &AttemptEnd<Reply>) {
        let Some((function, began)) = self.attempts.remove(&attempt) else { return };
        if end.code == Code::Ok && end.copy == basaltward::CopyStatus::Loaded {
            self.counts_of(function).warm_starts += 1;
            let (run_time, shortest) =
                (now.saturating_sub(began), self.run_times.entry(function).or_insert(Micros::MAX));
            // Grows by a hundredth with each run, so that the value follows runs that have become longer.
            *shortest = shortest.saturating_add(*shortest / 100).min(run_time);
        }
    }

    /// Sets the number of active workers.
    pub fn set_active_workers(&mut self, count: usize) {
        self.active_workers = count as u32;
    }

    /// Runs due timers and sends the reports to the control thread when they are due. Returns the ends of timed-out
    /// jobs.
    pub fn wake(&mut self, io: &mut Io, now: Micros) -> Vec<JobEnd> {
        let mut ends = Vec::new();
        self.links.wake(io, now, &mut ends);
        if now >= self.reported_at + REPORT_INTERVAL_US {
            let span = now - std::mem::replace(&mut self.reported_at, now);
            let in_flight = self.local_calls.len() as u32;
            let functions: Vec<_> = self.counts.values().copied().collect();
            // The calls in flight carry over; all other counts restart.
            self.counts.retain(|_, counts| {
                *counts = FunctionCounts {
                    function: counts.function,
                    in_flight: counts.in_flight,
                    ..FunctionCounts::default()
                };
                counts.in_flight > 0
            });
            self.rings.reports.send(LoopReport::Calls(LoopCounts {
                span,
                functions,
                in_flight,
                workers: self.active_workers,
            }));
            self.rings.reports.send(LoopReport::Admission(self.admission.take_counts(now, in_flight)));
            let dropped = self.rings.reports.dropped();
            if std::mem::replace(&mut self.dropped_reports, dropped) < dropped {
                warn!(lost = dropped, "control thread is stalled: reports of counts were dropped");
            }
        }
        ends
    }
}
