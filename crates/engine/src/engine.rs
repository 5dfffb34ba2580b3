use crate::arrivals::{Arrival, Arrivals};
use crate::in_flight::{Attempt, Call, PendingOrder, RequestState, Waiter};
use crate::repeats::{CallEnd, Repeats, Verdict};
use crate::{
    Answer, AnswerOrigin, AttemptEnd, AttemptId, CallId, EngineSettings, Failure, Function, Input, Margin,
    NewCall, OrderId, Output, Refusal, Reply, WaiterId,
};
use basaltward::{
    Action, Code, Controller, CopyStatus, Event, Micros, Outcome, Repeat, Request, RequestId, SettingsError,
    WorkerId,
};
use basaltward_timers::Timers;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A timer of the controller, with its token.
    Controller(u64),
    /// End of the time for which a call without clients lingers.
    Linger(CallId),
    /// Timeout of an order or a probe.
    Order(OrderId),
}

fn has_start<P, R>(outputs: &[Output<P, R>]) -> bool {
    outputs.iter().any(|output| matches!(output, Output::Start { .. }))
}

/// Timers handled per [`Engine::wake`], before the caller reads its clock again.
const TIMER_BATCH: usize = 32;

/// The calls in flight of one loop, around one controller. See the [crate documentation](crate).
pub struct Engine<P, R> {
    settings: EngineSettings,
    controller: Controller,
    repeats: Repeats<CallId, R>,
    margin: Margin,
    calls: HashMap<CallId, Call<P>>,
    requests: HashMap<RequestId, RequestState>,
    waiters: HashMap<WaiterId, Waiter>,
    arrivals: Arrivals,
    orders: HashMap<OrderId, PendingOrder>,
    timers: Timers<Timer>,
    /// Deadlines of the waiting clients. They are handled before all other timers.
    answer_timers: Timers<WaiterId>,
    /// Source of the ids of calls, requests and orders.
    sequence: u64,
    stopping: bool,
    /// When the process will be killed, if known: no answer can be sent later. Otherwise [`Micros::MAX`].
    exit_at: Micros,
    actions: Vec<Action>,
    /// Events to pass to the controller, including those caused by its own actions.
    events: VecDeque<Event>,
}

type Outputs<P, R> = Vec<Output<P, R>>;

impl<P, R: Reply> Engine<P, R> {
    /// Creates an engine without any workers. `seed` seeds the controller's random choices.
    ///
    /// # Errors
    /// If the controller rejects its settings.
    pub fn new(settings: EngineSettings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Self {
            controller: Controller::new(settings.controller.clone(), seed)?,
            repeats: Repeats::new(settings.repeats),
            margin: Margin::new(settings.margin),
            settings,
            calls: HashMap::new(),
            requests: HashMap::new(),
            waiters: HashMap::new(),
            arrivals: Arrivals::default(),
            orders: HashMap::new(),
            timers: Timers::default(),
            answer_timers: Timers::default(),
            sequence: 0,
            stopping: false,
            exit_at: Micros::MAX,
            actions: Vec::new(),
            events: VecDeque::new(),
        })
    }

    /// Number of calls in flight.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// When to call [`Engine::wake`] next. `None` if no timer is set.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let answer = self.answer_timers.next_due().map(|at| at.saturating_sub(self.margin.lateness(now)));
        answer.into_iter().chain(self.timers.next_due()).min()
    }

    /// How often the controller has evaluated a worker as a place for a function; see
    /// [`Controller::placements_evaluated`].
    pub fn placements_evaluated(&self) -> u64 {
        self.controller.placements_evaluated()
    }

    /// Until when new work may begin at a worker, see [`Controller::new_work_until`].
    pub fn new_work_until(&self, worker: &WorkerId) -> Option<Micros> {
        self.controller.new_work_until(worker)
    }

    /// Recent lateness of this loop, which is subtracted from each client's time. See [`Margin::lateness`].
    pub fn lateness(&self, now: Micros) -> Micros {
        self.margin.lateness(now)
    }

    /// Records that the loop handled at `now` something that was due at `due`.
    pub fn record_lateness(&mut self, now: Micros, due: Micros) {
        self.margin.record(now, due);
    }

    /// Handles one input at time `now` and appends the resulting requests to the caller to `outputs`.
    pub fn handle(&mut self, now: Micros, input: Input<P, R>, outputs: &mut Outputs<P, R>) {
        match input {
            Input::Call(call) => {
                self.receive_call(now, call, outputs);
                while self.begin_next(now, outputs) {}
            }
            Input::QueuedCall(call) => self.receive_call(now, call, outputs),
            Input::ClientLeft(waiter) => self.client_left(now, waiter, outputs),
            Input::AttemptEnded(attempt, end) => self.attempt_ended(now, attempt, end, outputs),
            Input::OrderAnswered(order, code, count) => self.order_answered(now, order, code, count),
            Input::ProbeAnswered(order, code, report) => self.probe_answered(now, order, code, report),
            Input::CopiesReported(worker, function, count) => {
                let (code, latency) = (Code::Ok, 0);
                self.events.push_back(Event::Loaded { worker, function, count, code, latency });
            }
            Input::Members(kind, members) => self.events.push_back(Event::Members { kind, members }),
            Input::ListTrust(trust) => self.events.push_back(Event::ListFreshness(trust)),
            Input::Disconnected(worker) => self.events.push_back(Event::Disconnected { worker }),
            Input::Stop => self.stopping = true,
            Input::ExitAt(at) => self.set_exit_time(now, at),
        }
        self.run_controller(now, outputs);
    }

    /// Arrival time of the call that has been queued longest, see [`Engine::begin_next`].
    pub fn oldest_arrival(&self) -> Option<Micros> {
        self.arrivals.oldest_arrival()
    }

    /// First client of the call that [`Engine::begin_next`] would begin. Skips calls whose clients have left.
    pub fn next_waiter(&self) -> Option<WaiterId> {
        self.arrivals.calls().find_map(|id| self.calls.get(&id))?.waiters.first().copied()
    }

    /// Begins the call that has been queued longest since [`Input::QueuedCall`]: passes it to the controller,
    /// or, if it is past its aim, refuses it (fails it if an earlier run of its event may have taken effect).
    /// False if no call is queued.
    pub fn begin_next(&mut self, now: Micros, outputs: &mut Outputs<P, R>) -> bool {
        while let Some(arrival) = self.arrivals.pop(now) {
            // Its clients may have left, or have been answered when their time ran out.
            if !self.calls.contains_key(&arrival.call) {
                continue;
            }
            let answer_by = self.limit_to_exit(now, arrival.answer_by);
            let answer_by = answer_by.saturating_sub(self.margin.lateness(now)).min(arrival.until);
            if now >= arrival.aim.min(answer_by) {
                let wait = self.arrivals.expected_wait();
                if let Some(call) = self.remove_unstarted(now, arrival.call) {
                    let answer = match call.may_have_run_before {
                        true => Answer::Failed(Failure::MayHaveRun),
                        false => self.backlogged(wait),
                    };
                    self.answer_all(call.waiters, &answer, (0, None), outputs);
                }
            } else {
                self.begin_request(now, arrival.call, answer_by);
                self.run_controller(now, outputs);
            }
            return true;
        }
        false
    }

    /// The answer to a call that would begin too late, with the expected wait as the time to retry after.
    fn backlogged(&self, wait: Micros) -> Answer<R> {
        let limits = &self.settings.controller.limits;
        let wait = Some(wait.min(limits.max_retry_after)).filter(|_| limits.retry_after);
        Answer::Refused(Refusal::Backlogged, wait)
    }

    /// Records that the first bytes of an attempt are about to be written to a connection: from now on it may
    /// run.
    pub fn mark_written(&mut self, id: AttemptId) {
        let attempt = self.requests.get_mut(&id.request).and_then(|state| state.attempts.get_mut(id.number));
        attempt.into_iter().for_each(|attempt| attempt.written = true);
    }

    /// Cancels the attempts of an ended call that still wait for a connection. The answer to its client
    /// states that the call never ran, which must remain true.
    fn abort_unwritten(&self, request: RequestId, outputs: &mut Outputs<P, R>) {
        let attempts = self.requests.get(&request).map(|state| state.attempts.as_slice()).unwrap_or_default();
        let unwritten = attempts.iter().enumerate().filter(|(_, a)| !a.written && a.end_code.is_none());
        outputs.extend(unwritten.map(|(number, _)| Output::Abort(AttemptId { request, number })));
    }

    /// Answers the clients whose time has run out by `now`. True if it stopped early because there is an
    /// attempt to start; [`Engine::wake`] explains why.
    pub fn answer_expired(&mut self, now: Micros, outputs: &mut Outputs<P, R>) -> bool {
        let early = self.margin.lateness(now);
        while let Some((at, id)) = self.answer_timers.pop_due(now + early) {
            self.margin.record(now, at);
            self.expire_waiter(now, id, outputs);
            self.run_controller(now, outputs);
            if has_start(outputs) {
                return true;
            }
        }
        false
    }

    /// Handles the timers that are due by `now`, answers to clients first. Handles a small number of other
    /// timers at most, so that the caller writes the outputs and reads its clock in between; if more are due,
    /// [`Engine::next_due`] returns a time that has passed.
    ///
    /// Returns as soon as there is an attempt to start. Whether its bytes are written is known only after the
    /// caller has handled that output; if the call's time ran out within the same wake-up, the answer to its
    /// client would wrongly state that the call never ran.
    pub fn wake(&mut self, now: Micros, outputs: &mut Outputs<P, R>) {
        if self.answer_expired(now, outputs) {
            return;
        }
        for _ in 0..TIMER_BATCH {
            let Some((at, timer)) = self.timers.pop_due(now) else { return };
            self.margin.record(now, at);
            match timer {
                Timer::Controller(token) => self.events.push_back(Event::Timer { token }),
                Timer::Linger(call) => self.abandon(now, call, outputs),
                Timer::Order(order) => self.order_timed_out(now, order, outputs),
            }
            self.run_controller(now, outputs);
            if has_start(outputs) {
                return;
            }
        }
    }

    /// Repeat rule of a function's class. A class that does not exist, which no front end lets through, is
    /// treated as the strictest; the controller refuses its calls.
    fn repeat_of(&self, function: &Function) -> Repeat {
        self.settings.controller.classes.get(function.class).map_or(Repeat::Unsafe, |c| c.repeat)
    }

    // ---- clients -----------------------------------------------------------------------------------------

    fn receive_call(&mut self, now: Micros, new_call: NewCall<P>, outputs: &mut Outputs<P, R>) {
        let deadline = new_call.deadline.min(self.exit_at);
        let answer_by = deadline.saturating_sub(self.margin.answer_allowance(deadline.saturating_sub(now)));
        let effective_deadline = answer_by.saturating_sub(self.margin.lateness(now));
        let repeat = self.repeat_of(&new_call.function);
        let class = self.settings.controller.classes.get(new_call.function.class);
        let aim = class.map_or(answer_by, |c| answer_by.min(now + c.aim));
        let direct = |answer| Output::Answer {
            waiter: new_call.waiter,
            answer,
            attempts: 0,
            worker: None,
            origin: AnswerOrigin::Direct,
        };
        // Recorded answers and calls in flight serve clients with little time too, and those that arrive while
        // this process is stopping.
        let refused = |reason| Answer::Refused(reason, None);
        let verdict = self.repeats.check(now, &new_call.identity, repeat);
        let starts_run = matches!(verdict, Verdict::Run | Verdict::RunUntil(_));
        let until = match verdict {
            Verdict::Recorded(reply) => return outputs.push(direct(Answer::Served(reply))),
            Verdict::Blocked => return outputs.push(direct(Answer::Failed(Failure::MayHaveRun))),
            Verdict::GuardLimit => return outputs.push(direct(refused(Refusal::GuardLimit))),
            // Failed, not refused: the call in flight may run, and only for a safe call is trying again harmless.
            Verdict::Join(_) if effective_deadline <= now => {
                return outputs.push(direct(Answer::Failed(Failure::Deadline)));
            }
            _ if effective_deadline <= now => return outputs.push(direct(refused(Refusal::TooLittleTime))),
            Verdict::Join(id) => {
                let Some(call) = self.calls.get_mut(&id) else { return };
                if call.waiters.len() >= self.settings.max_waiters {
                    // The call in flight may run. Only for a safe call is it true that trying again is harmless.
                    let safe = repeat == Repeat::Safe;
                    let answer = if safe {
                        refused(Refusal::TooManyInFlight)
                    } else {
                        Answer::Failed(Failure::MayHaveRun)
                    };
                    return outputs.push(direct(answer));
                }
                call.waiters.push(new_call.waiter);
                return self.add_waiter(new_call.waiter, id, answer_by, AnswerOrigin::Joined);
            }
            _ if starts_run && self.stopping => return outputs.push(direct(refused(Refusal::Stopping))),
            _ if self.calls.len() >= self.settings.max_in_flight => {
                return outputs.push(direct(refused(Refusal::TooManyInFlight)));
            }
            _ if now + self.arrivals.expected_wait() > aim => {
                return outputs.push(direct(self.backlogged(self.arrivals.expected_wait())));
            }
            Verdict::RunUntil(until) => until,
            Verdict::Run => Micros::MAX,
        };
        let may_have_run_before = until < Micros::MAX;
        let id = CallId(self.sequence);
        self.sequence += 1;
        let identity = Arc::new(new_call.identity);
        self.repeats.start(&identity, repeat, id);
        let (waiters, request) = (vec![new_call.waiter], None);
        let (function, payload) = (new_call.function, new_call.payload);
        let call = Call {
            identity,
            function,
            payload,
            waiters,
            request,
            attempts: 0,
            worker: None,
            may_have_run_before,
        };
        self.calls.insert(id, call);
        self.arrivals.push(Arrival { call: id, arrived_at: now, aim, answer_by, until });
        self.add_waiter(new_call.waiter, id, answer_by, AnswerOrigin::First);
    }

    /// Brings the time for an answer forward if the process will be killed before `answer_by`.
    fn limit_to_exit(&self, now: Micros, answer_by: Micros) -> Micros {
        answer_by
            .min(self.exit_at.saturating_sub(self.margin.answer_allowance(self.exit_at.saturating_sub(now))))
    }

    /// Records that the process will be killed at `at`: clients that would wait longer are answered before it,
    /// and attempts sent from now on carry the earlier deadline.
    fn set_exit_time(&mut self, now: Micros, at: Micros) {
        self.exit_at = self.exit_at.min(at);
        let answer_by = self.limit_to_exit(now, Micros::MAX);
        for (id, waiter) in self.waiters.iter_mut().filter(|(_, waiter)| waiter.answer_by > answer_by) {
            waiter.answer_by = answer_by;
            self.answer_timers.set(answer_by, *id);
        }
        for state in self.requests.values_mut() {
            state.deadline = state.deadline.min(answer_by);
        }
    }

    fn add_waiter(&mut self, waiter: WaiterId, call: CallId, answer_by: Micros, origin: AnswerOrigin) {
        self.waiters.insert(waiter, Waiter { call, answer_by, origin });
        self.answer_timers.set(answer_by, waiter);
    }

    /// Passes a request for the call to the controller, which has to end by `deadline`.
    fn begin_request(&mut self, now: Micros, id: CallId, deadline: Micros) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let function = call.function.clone();
        let request = RequestId(self.sequence);
        self.sequence += 1;
        call.request = Some(request);
        let identity = call.identity.clone();
        self.events.push_back(Event::Request(Request {
            id: request,
            tenant: identity.tenant,
            class: function.class,
            function: function.name.clone(),
            client_timeout: deadline.saturating_sub(now),
            memory_mb: function.memory_mb,
            lanes: function.lanes,
            load_time: function.load_time,
        }));
        let state =
            RequestState { call: id, identity, function, deadline, attempts: Vec::new(), concluded: false };
        self.requests.insert(request, state);
    }

    /// Answers a client whose time has run out. The call goes on for the clients that wait longer, or lingers
    /// for a repeat. If it never ran and has no other client, it ends: the answer states that it took no
    /// effect, which must remain true.
    fn expire_waiter(&mut self, now: Micros, id: WaiterId, outputs: &mut Outputs<P, R>) {
        let lateness = self.margin.lateness(now);
        if self.waiters.get(&id).is_none_or(|w| w.answer_by > now + lateness) {
            return;
        }
        let Some(waiter) = self.waiters.remove(&id) else { return };
        let Some(call) = self.calls.get_mut(&waiter.call) else { return };
        call.waiters.retain(|w| *w != id);
        let (attempts, worker, request) = (call.attempts, call.worker.clone(), call.request);
        let may_have_run = request.map_or(call.may_have_run_before, |request| self.may_have_run(request));
        let Some(call) = self.calls.get(&waiter.call) else { return };
        let ends_call = call.waiters.is_empty() && !may_have_run;
        let answer = match ends_call {
            true => Answer::Refused(Refusal::NotStarted, None),
            false => Answer::Failed(Failure::Deadline),
        };
        outputs.push(Output::Answer { waiter: id, answer, attempts, worker, origin: waiter.origin });
        match ends_call {
            true => self.abandon(now, waiter.call, outputs),
            false => self.linger(now, waiter.call, outputs),
        }
    }

    /// Whether this request for an event, or an earlier one, may have run. This alone decides whether a call
    /// that is not served has failed or was refused.
    fn may_have_run(&self, request: RequestId) -> bool {
        let Some(state) = self.requests.get(&request) else { return true };
        self.calls.get(&state.call).is_none_or(|c| c.may_have_run_before)
            || state.first_possible_run().is_some()
    }

    fn client_left(&mut self, now: Micros, id: WaiterId, outputs: &mut Outputs<P, R>) {
        let Some(waiter) = self.waiters.remove(&id) else { return };
        if let Some(call) = self.calls.get_mut(&waiter.call) {
            call.waiters.retain(|w| *w != id);
            self.linger(now, waiter.call, outputs);
        }
    }

    /// Keeps a call without clients going for a while, because clients that leave early usually repeat their
    /// event. The work is wasted if the client never returns; but otherwise, if many clients leave early, every
    /// run would begin and none would finish.
    fn linger(&mut self, now: Micros, id: CallId, outputs: &mut Outputs<P, R>) {
        if !self.calls.get(&id).is_some_and(|c| c.waiters.is_empty()) {
            return;
        }
        // If clients repeat with new event ids, no repeat can join this call.
        if self.settings.linger == 0 {
            self.abandon(now, id, outputs);
        } else {
            self.timers.set(now + self.settings.linger, Timer::Linger(id));
        }
    }

    /// Ends a call without clients. Attempts that still wait for a connection are cancelled even if the
    /// settings forbid to cancel running ones, because they must not begin.
    fn abandon(&mut self, now: Micros, id: CallId, outputs: &mut Outputs<P, R>) {
        let Some(call) = self.calls.get(&id).filter(|c| c.waiters.is_empty()) else { return };
        let Some(request) = call.request else { return drop(self.remove_unstarted(now, id)) };
        self.abort_unwritten(request, outputs);
        self.events.push_back(Event::ClientGone { id: request });
        self.close_call(now, request, None);
    }

    /// Removes a call that was never passed to the controller.
    fn remove_unstarted(&mut self, now: Micros, id: CallId) -> Option<Call<P>> {
        let call = self.calls.remove(&id)?;
        let repeat = self.repeat_of(&call.function);
        self.repeats.finish(now, &call.identity, repeat, CallEnd::NeverRan);
        Some(call)
    }

    // ---- ends of calls and attempts ----------------------------------------------------------------------

    /// Ends the call of a request: records the end and answers every client that still waits.
    fn conclude(&mut self, now: Micros, request: RequestId, answer: Answer<R>, outputs: &mut Outputs<P, R>) {
        let Some(state) = self.requests.get(&request).filter(|state| !state.concluded) else { return };
        let (id, deadline) = (state.call, state.deadline);
        let past_deadline =
            matches!(answer, Answer::Failed(_)) && now + self.settings.controller.tick >= deadline;
        let answer = match answer {
            Answer::Failed(_) if !self.may_have_run(request) => {
                self.abort_unwritten(request, outputs);
                Answer::Refused(Refusal::NotStarted, None)
            }
            Answer::Failed(_) if past_deadline => Answer::Failed(Failure::Deadline),
            answer => answer,
        };
        let reply = if let Answer::Served(reply) = &answer { Some(reply.clone()) } else { None };
        let Some(mut call) = self.close_call(now, request, reply) else { return };
        let lateness = self.margin.lateness(now);
        // Excludes the client that began the call: its time can only seem longer now because the lateness has
        // decayed since, and its call has already ended, so it is answered at once.
        let joined_waiter = |w: &WaiterId| self.waiters.get(w).filter(|w| w.origin == AnswerOrigin::Joined);
        let answer_by_of = |w: &WaiterId| joined_waiter(w).map(|w| w.answer_by.saturating_sub(lateness));
        let latest = call.waiters.iter().filter_map(answer_by_of).max();
        if past_deadline && latest.is_some_and(|answer_by| answer_by > now + self.settings.margin.min) {
            // The client that began the call had less patience than others that joined. They are treated as if
            // they repeated the event now.
            let waiting = std::mem::take(&mut call.waiters);
            let has_time = |w: &WaiterId| answer_by_of(w).is_some_and(|answer_by| answer_by > now);
            let (staying, leaving): (Vec<_>, Vec<_>) = waiting.into_iter().partition(has_time);
            let (attempts, worker) = (call.attempts, call.worker.clone());
            self.answer_all(leaving, &answer, (attempts, worker.clone()), outputs);
            let repeat = self.repeat_of(&call.function);
            let until = match self.repeats.check(now, &call.identity, repeat) {
                Verdict::Run => Micros::MAX,
                Verdict::RunUntil(until) => until,
                _ => {
                    return self.answer_all(
                        staying,
                        &Answer::Failed(Failure::MayHaveRun),
                        (attempts, worker),
                        outputs,
                    );
                }
            };
            call.may_have_run_before |= until < Micros::MAX;
            call.waiters = staying;
            self.repeats.start(&call.identity, repeat, id);
            self.calls.insert(id, call);
            return self.begin_request(now, id, latest.unwrap_or(now).min(until));
        }
        let waiters = std::mem::take(&mut call.waiters);
        self.answer_all(waiters, &answer, (call.attempts, call.worker), outputs);
    }

    /// Gives the same answer to several clients, with the attempts made and the worker last tried.
    fn answer_all(
        &mut self,
        waiters: Vec<WaiterId>,
        answer: &Answer<R>,
        progress: (u32, Option<WorkerId>),
        outputs: &mut Outputs<P, R>,
    ) {
        for waiter in waiters {
            let Some(waiting) = self.waiters.remove(&waiter) else { continue };
            let (answer, attempts, worker, origin) =
                (answer.clone(), progress.0, progress.1.clone(), waiting.origin);
            outputs.push(Output::Answer { waiter, answer, attempts, worker, origin });
        }
    }

    /// Marks a request as concluded, removes its call and records how it ended.
    fn close_call(&mut self, now: Micros, request: RequestId, reply: Option<R>) -> Option<Call<P>> {
        let state = self.requests.get_mut(&request).filter(|state| !state.concluded)?;
        state.concluded = true;
        let call = self.calls.remove(&state.call)?;
        let ended = match (reply, state.first_possible_run()) {
            (Some(reply), _) => CallEnd::Served(reply.clone(), reply.bytes()),
            (None, Some(sent_at)) => CallEnd::MayHaveRun(sent_at),
            (None, None) => CallEnd::NeverRan,
        };
        if state.is_finished() {
            self.requests.remove(&request);
        }
        let repeat = self.repeat_of(&call.function);
        self.repeats.finish(now, &call.identity, repeat, ended);
        Some(call)
    }

    fn attempt_ended(&mut self, now: Micros, id: AttemptId, end: AttemptEnd<R>, outputs: &mut Outputs<P, R>) {
        let Some(state) = self.requests.get_mut(&id.request) else { return };
        let Some(attempt) = state.attempts.get_mut(id.number).filter(|a| a.end_code.is_none()) else {
            return;
        };
        // A success without a reply can't be passed on to the client.
        let code = if end.code == Code::Ok && end.reply.is_none() { Code::Unknown } else { end.code };
        attempt.end_code = Some(code);
        let (worker, latency, concluded, finished) = (
            attempt.worker.clone(),
            now.saturating_sub(attempt.sent_at),
            state.concluded,
            state.is_finished(),
        );
        let (identity, function) = (state.identity.clone(), state.function.clone());
        if code == Code::Ok {
            match end.reply {
                Some(reply) if !concluded => self.conclude(now, id.request, Answer::Served(reply), outputs),
                // Too late for its client, but recorded for a repeat.
                Some(reply) => {
                    let (repeat, bytes) = (self.repeat_of(&function), reply.bytes());
                    if !matches!(self.repeats.check(now, &identity, repeat), Verdict::Join(_)) {
                        self.repeats.finish(now, &identity, repeat, CallEnd::Served(reply, bytes));
                    }
                }
                None => {}
            }
        }
        if finished {
            self.requests.remove(&id.request);
        }
        self.events.push_back(Event::Outcome(Outcome {
            id: id.request,
            attempt: id.number,
            worker,
            code,
            latency,
            is_final: concluded || code == Code::Ok,
            copy: end.copy,
            crowd: end.crowd,
            report: end.report,
        }));
    }

    // ---- orders ------------------------------------------------------------------------------------------

    fn order_answered(&mut self, now: Micros, id: OrderId, code: Code, count: u32) {
        if let Some(PendingOrder::Load { worker, function, sent_at }) = self.orders.remove(&id) {
            let latency = now.saturating_sub(sent_at);
            self.events.push_back(Event::Loaded { worker, function, count, code, latency });
        }
    }

    fn probe_answered(&mut self, now: Micros, id: OrderId, code: Code, report: Vec<f64>) {
        if let Some(PendingOrder::Probe { worker, sent_at }) = self.orders.remove(&id) {
            let latency = now.saturating_sub(sent_at);
            self.events.push_back(Event::Probed { worker, code, latency, report });
        }
    }

    fn order_timed_out(&mut self, now: Micros, id: OrderId, outputs: &mut Outputs<P, R>) {
        match self.orders.get(&id) {
            Some(PendingOrder::Load { .. }) => self.order_answered(now, id, Code::Timeout, 0),
            Some(PendingOrder::Probe { .. }) => self.probe_answered(now, id, Code::Timeout, Vec::new()),
            None => return,
        }
        outputs.push(Output::AbortOrder(id));
    }

    // ---- the controller ----------------------------------------------------------------------------------

    /// Passes all pending events to the controller and carries out its actions, until no event is left.
    fn run_controller(&mut self, now: Micros, outputs: &mut Outputs<P, R>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.controller.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(now, action, outputs);
            }
            self.actions = actions;
        }
    }

    fn perform(&mut self, now: Micros, action: Action, outputs: &mut Outputs<P, R>) {
        match action {
            Action::Send { id, worker, until } => self.start_attempt(now, id, worker, until, outputs),
            Action::Cancel { id, attempt } => {
                let pending =
                    |state: &RequestState| state.attempts.get(attempt).is_some_and(|a| a.end_code.is_none());
                if self.requests.get(&id).is_some_and(pending) {
                    outputs.push(Output::Abort(AttemptId { request: id, number: attempt }));
                }
            }
            Action::Refuse { id, wait } => {
                self.conclude(now, id, Answer::Refused(Refusal::Overload, wait), outputs);
            }
            Action::Fail { id } => {
                self.conclude(now, id, Answer::Failed(Failure::AttemptsExhausted), outputs)
            }
            Action::Timer { after, token } => self.timers.set(now + after, Timer::Controller(token)),
            Action::Probe { worker } => {
                let order = self.add_order(now, PendingOrder::Probe { worker: worker.clone(), sent_at: now });
                outputs.push(Output::Probe(order, worker));
            }
            Action::Load { worker, function, count } => {
                let load =
                    PendingOrder::Load { worker: worker.clone(), function: function.clone(), sent_at: now };
                let order = self.add_order(now, load);
                outputs.push(Output::Order { order, worker, function, count });
            }
            Action::Drop { worker, function } => outputs.push(Output::Release(worker, function)),
            Action::Watch => outputs.push(Output::RequestWorkerList),
        }
    }

    fn add_order(&mut self, now: Micros, order: PendingOrder) -> OrderId {
        let id = OrderId(self.sequence);
        self.sequence += 1;
        self.orders.insert(id, order);
        self.timers.set(now + self.settings.controller.copies.order_timeout, Timer::Order(id));
        id
    }

    fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        worker: WorkerId,
        until: Option<Micros>,
        outputs: &mut Outputs<P, R>,
    ) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        let number = state.attempts.len();
        state.attempts.push(Attempt { worker: worker.clone(), sent_at: now, written: false, end_code: None });
        let call = self.calls.get_mut(&state.call).filter(|_| !state.concluded);
        let Some(call) = call else {
            // The controller should not send for a concluded request; if it does, nothing is sent.
            if let Some(attempt) = state.attempts.last_mut() {
                attempt.end_code = Some(Code::Moot);
            }
            let (code, copy) = (Code::Moot, CopyStatus::Unknown);
            let (latency, last, crowd, report) = (0, true, None, Vec::new());
            let moot =
                Outcome { id, attempt: number, worker, code, latency, is_final: last, copy, crowd, report };
            return self.events.push_back(Event::Outcome(moot));
        };
        call.attempts += 1;
        call.worker = Some(worker.clone());
        outputs.push(Output::Start {
            attempt: AttemptId { request: id, number },
            worker,
            identity: call.identity.clone(),
            function: call.function.clone(),
            payload: call.payload.clone(),
            until: until.unwrap_or(state.deadline).min(state.deadline),
        });
    }
}
