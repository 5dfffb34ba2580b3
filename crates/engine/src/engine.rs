use crate::arrivals::{Arrival, Arrivals};
use crate::hand::{Call, Order, Sent, Try, Waiter};
use crate::repeats::{Ended, Repeats, Verdict};
use crate::{
    Answer, AttemptEnd, AttemptId, CallId, EngineSettings, Failure, Function, Input, Margin, NewCall,
    OrderId, Output, Path, Refusal, Reply, WaiterId,
};
use basaltward::{
    Action, Code, Controller, CopyStatus, Event, Micros, Outcome, Repeat, Request, RequestId, SettingsError,
    WorkerId,
};
use basaltward_timers::Timers;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Linger(CallId),
    Order(OrderId),
}

fn starts<P, R>(out: &[Output<P, R>]) -> bool {
    out.iter().any(|output| matches!(output, Output::Start { .. }))
}

/// Things due that are done before the caller reads its clock again.
const BATCH: usize = 32;

/// The calls of one loop, around one controller.
pub struct Engine<P, R> {
    settings: EngineSettings,
    controller: Controller,
    repeats: Repeats<CallId, R>,
    margin: Margin,
    calls: HashMap<CallId, Call<P>>,
    tries: HashMap<RequestId, Try>,
    waiters: HashMap<WaiterId, Waiter>,
    arrivals: Arrivals,
    orders: HashMap<OrderId, Order>,
    due: Timers<Due>,
    /// Answers due to clients whose time is up: they go before all else.
    answers: Timers<WaiterId>,
    sequence: u64,
    stopping: bool,
    /// When the process is killed, once that is known: no answer can be given later.
    end: Micros,
    actions: Vec<Action>,
    /// Events that carrying out actions gave rise to.
    events: VecDeque<Event>,
}

type Out<P, R> = Vec<Output<P, R>>;

impl<P, R: Reply> Engine<P, R> {
    /// An engine that knows no workers yet.
    ///
    /// # Errors
    /// Where the controller can't decide by its settings.
    pub fn new(settings: EngineSettings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Self {
            controller: Controller::new(settings.module.clone(), seed)?,
            repeats: Repeats::new(settings.repeats),
            margin: Margin::new(settings.margin),
            settings,
            calls: HashMap::new(),
            tries: HashMap::new(),
            waiters: HashMap::new(),
            arrivals: Arrivals::default(),
            orders: HashMap::new(),
            due: Timers::default(),
            answers: Timers::default(),
            sequence: 0,
            stopping: false,
            end: Micros::MAX,
            actions: Vec::new(),
            events: VecDeque::new(),
        })
    }

    /// Calls in hand.
    pub fn in_hand(&self) -> usize {
        self.calls.len()
    }

    /// When [`Engine::wake`] is due next.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let answer = self.answers.next().map(|at| at.saturating_sub(self.margin.lateness(now)));
        answer.into_iter().chain(self.due.next()).min()
    }

    /// How often the controller weighed a worker so far, see [`Controller::placements_evaluated`].
    pub fn looks(&self) -> u64 {
        self.controller.placements_evaluated()
    }

    /// Until when new work may begin at a worker, see [`Controller::new_work_until`].
    pub fn new_work_until(&self, worker: &WorkerId) -> Option<Micros> {
        self.controller.new_work_until(worker)
    }

    /// How late this loop lately was, which comes off each client's time.
    pub fn lateness(&self, now: Micros) -> Micros {
        self.margin.lateness(now)
    }

    /// Takes note that the loop has done at `now` what it should have done at `due`.
    pub fn note_late(&mut self, now: Micros, due: Micros) {
        self.margin.woke(now, due);
    }

    /// Takes one input at time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input<P, R>, out: &mut Out<P, R>) {
        match input {
            Input::Call(call) => {
                self.call(now, call, out);
                while self.begin_next(now, out) {}
            }
            Input::Arrived(call) => self.call(now, call, out),
            Input::Left(waiter) => self.left(now, waiter, out),
            Input::Ended(attempt, end) => self.ended(now, attempt, end, out),
            Input::Ordered(order, code, count) => self.ordered(now, order, code, count),
            Input::Probed(order, code, report) => self.probed(now, order, code, report),
            Input::Stands(worker, function, count) => {
                let (code, latency) = (Code::Ok, 0);
                self.events.push_back(Event::Loaded { worker, function, count, code, latency });
            }
            Input::Members(kind, members) => self.events.push_back(Event::Members { kind, members }),
            Input::ListTrust(trust) => self.events.push_back(Event::ListFreshness(trust)),
            Input::Disconnected(worker) => self.events.push_back(Event::Disconnected { worker }),
            Input::Stop => self.stopping = true,
            Input::EndBy(end) => self.end_by(now, end),
        }
        self.settle(now, out);
    }

    /// When the call came that has waited longest to be begun, see [`Engine::begin_next`].
    pub fn oldest_arrival(&self) -> Option<Micros> {
        self.arrivals.oldest()
    }

    /// Who waits for the call that [`Engine::begin_next`] would begin, past those whose clients have left.
    pub fn next_waiter(&self) -> Option<WaiterId> {
        self.arrivals.calls().find_map(|id| self.calls.get(&id))?.waiters.first().copied()
    }

    /// Begins the call that has waited longest since [`Input::Arrived`]: the controller is told of it, or it
    /// is turned away if its aim is past. False where none waits.
    pub fn begin_next(&mut self, now: Micros, out: &mut Out<P, R>) -> bool {
        while let Some(arrival) = self.arrivals.pop(now) {
            // Its clients may have left, or have been answered as their time ran out.
            if !self.calls.contains_key(&arrival.call) {
                continue;
            }
            let by = self.answer_by(now, arrival.by);
            let by = by.saturating_sub(self.margin.lateness(now)).min(arrival.until);
            if now >= arrival.aim.min(by) {
                let wait = self.arrivals.wait();
                if let Some(call) = self.withdraw(now, arrival.call) {
                    let answer = match call.earlier {
                        true => Answer::Failed(Failure::MayHaveRun),
                        false => self.behind(wait),
                    };
                    self.answer_all(call.waiters, &answer, (0, None), out);
                }
            } else {
                self.begin(now, arrival.call, by);
                self.settle(now, out);
            }
            return true;
        }
        false
    }

    /// The answer to a call that would be begun too late.
    fn behind(&self, wait: Micros) -> Answer<R> {
        let limits = &self.settings.module.limits;
        let wait = Some(wait.min(limits.max_retry_after)).filter(|_| limits.retry_after);
        Answer::Refused(Refusal::Behind, wait)
    }

    /// Bytes of an attempt are about to be given to a connection: from here on it may run.
    pub fn written(&mut self, id: AttemptId) {
        let sent = self.tries.get_mut(&id.request).and_then(|t| t.sent.get_mut(id.number));
        sent.into_iter().for_each(|sent| sent.written = true);
    }

    /// Calls off the attempts of a call that is over and that wait for a connection still: told that it never
    /// ran, its client must stay right.
    fn call_off_unwritten(&self, request: RequestId, out: &mut Out<P, R>) {
        let sent = self.tries.get(&request).map(|t| t.sent.as_slice()).unwrap_or_default();
        let waits = sent.iter().enumerate().filter(|(_, s)| !s.written && s.ended.is_none());
        out.extend(waits.map(|(number, _)| Output::Abort(AttemptId { request, number })));
    }

    /// Answers the clients whose time is up by `now`. True where it ended before the last, with an attempt to
    /// start, as [`Engine::wake`] does.
    pub fn answer_due(&mut self, now: Micros, out: &mut Out<P, R>) -> bool {
        let early = self.margin.lateness(now);
        while let Some((at, id)) = self.answers.due(now + early) {
            self.margin.woke(now, at);
            self.out_of_time(now, id, out);
            self.settle(now, out);
            if starts(out) {
                return true;
            }
        }
        false
    }

    /// Does what is due by `now`, answers first; no more than a small number of things, so that the caller
    /// writes them and reads its clock in between. Where more is due, [`Engine::next_due`] says so.
    ///
    /// With an attempt to start it ends: whether bytes of it leave is known only once the caller has carried
    /// that out, and a call whose time runs out in the same breath would be told that it never ran.
    pub fn wake(&mut self, now: Micros, out: &mut Out<P, R>) {
        if self.answer_due(now, out) {
            return;
        }
        for _ in 0..BATCH {
            let Some((at, due)) = self.due.due(now) else { return };
            self.margin.woke(now, at);
            match due {
                Due::Module(token) => self.events.push_back(Event::Timer { token }),
                Due::Linger(call) => self.abandon(now, call, out),
                Due::Order(order) => self.overdue(now, order, out),
            }
            self.settle(now, out);
            if starts(out) {
                return;
            }
        }
    }

    /// What the class of a function allows. A class that does not exist, which no front lets through, is
    /// taken for the strictest; the controller refuses its calls.
    fn repeat_of(&self, function: &Function) -> Repeat {
        self.settings.module.classes.get(function.class).map_or(Repeat::Unsafe, |c| c.repeat)
    }

    // ---- clients -----------------------------------------------------------------------------------------

    fn call(&mut self, now: Micros, told: NewCall<P>, out: &mut Out<P, R>) {
        let deadline = told.deadline.min(self.end);
        let by = deadline.saturating_sub(self.margin.way(deadline.saturating_sub(now)));
        let answer_by = by.saturating_sub(self.margin.lateness(now));
        let repeat = self.repeat_of(&told.function);
        let class = self.settings.module.classes.get(told.function.class);
        let aim = class.map_or(by, |c| by.min(now + c.aim));
        let direct = |answer| Output::Answer {
            waiter: told.waiter,
            answer,
            attempts: 0,
            worker: None,
            path: Path::Direct,
        };
        // A recorded answer or a call in hand may serve even who has little time or comes while we stop.
        let refused = |why| Answer::Refused(why, None);
        let verdict = self.repeats.judge(now, &told.identity, repeat);
        let fresh = matches!(verdict, Verdict::Fresh | Verdict::FreshUntil(_));
        let until = match verdict {
            Verdict::Recorded(reply) => return out.push(direct(Answer::Served(reply))),
            Verdict::Blocked => return out.push(direct(Answer::Failed(Failure::MayHaveRun))),
            Verdict::NoRoom => return out.push(direct(refused(Refusal::Guards))),
            // Not refused: the call in hand may run, and only of a safe one is trying again harmless.
            Verdict::Join(_) if answer_by <= now => {
                return out.push(direct(Answer::Failed(Failure::Deadline)));
            }
            _ if answer_by <= now => return out.push(direct(refused(Refusal::TooLate))),
            Verdict::Join(id) => {
                let Some(call) = self.calls.get_mut(&id) else { return };
                if call.waiters.len() >= self.settings.waiters {
                    // The call in hand may run: of a safe one alone is it no lie that trying again is harmless.
                    let safe = repeat == Repeat::Safe;
                    let full =
                        if safe { refused(Refusal::InHand) } else { Answer::Failed(Failure::MayHaveRun) };
                    return out.push(direct(full));
                }
                call.waiters.push(told.waiter);
                return self.wait(told.waiter, id, by, Path::Joined);
            }
            _ if fresh && self.stopping => return out.push(direct(refused(Refusal::Stopping))),
            _ if self.calls.len() >= self.settings.in_hand => {
                return out.push(direct(refused(Refusal::InHand)));
            }
            _ if now + self.arrivals.wait() > aim => {
                return out.push(direct(self.behind(self.arrivals.wait())));
            }
            Verdict::FreshUntil(until) => until,
            Verdict::Fresh => Micros::MAX,
        };
        let earlier = until < Micros::MAX;
        let id = CallId(self.sequence);
        self.sequence += 1;
        let identity = Arc::new(told.identity);
        self.repeats.open(&identity, repeat, id);
        let (waiters, current) = (vec![told.waiter], None);
        let (function, payload) = (told.function, told.payload);
        let call = Call { identity, function, payload, waiters, current, attempts: 0, worker: None, earlier };
        self.calls.insert(id, call);
        self.arrivals.push(Arrival { call: id, came: now, aim, by, until });
        self.wait(told.waiter, id, by, Path::First);
    }

    /// The latest time for an answer that would be due at `by`, as the process may be killed before.
    fn answer_by(&self, now: Micros, by: Micros) -> Micros {
        by.min(self.end.saturating_sub(self.margin.way(self.end.saturating_sub(now))))
    }

    /// The process is killed at `end`: who would wait longer waits until then, and what is sent from now on is told so.
    fn end_by(&mut self, now: Micros, end: Micros) {
        self.end = self.end.min(end);
        let by = self.answer_by(now, Micros::MAX);
        for (id, waiter) in self.waiters.iter_mut().filter(|(_, waiter)| waiter.by > by) {
            waiter.by = by;
            self.answers.set(by, *id);
        }
        for open in self.tries.values_mut() {
            open.deadline = open.deadline.min(by);
        }
    }

    fn wait(&mut self, waiter: WaiterId, call: CallId, by: Micros, path: Path) {
        self.waiters.insert(waiter, Waiter { call, by, path });
        self.answers.set(by, waiter);
    }

    /// Tells the controller of a request for the call that ends by `deadline`.
    fn begin(&mut self, now: Micros, id: CallId, deadline: Micros) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let function = call.function.clone();
        let request = RequestId(self.sequence);
        self.sequence += 1;
        call.current = Some(request);
        let identity = call.identity.clone();
        self.events.push_back(Event::Request(Request {
            id: request,
            tenant: identity.tenant,
            class: function.class,
            function: function.name.clone(),
            client_timeout: deadline.saturating_sub(now),
            memory_mb: function.memory_mb,
            lanes: function.lanes,
            load_time: function.load,
        }));
        let open = Try { call: id, identity, function, deadline, sent: Vec::new(), done: false };
        self.tries.insert(request, open);
    }

    /// A client's own time is up. The call goes on for those who wait longer, or lingers for a repeat. One
    /// that never ran and that nobody else waits for ends with it: its client is told that it took no effect,
    /// and that must stay true.
    fn out_of_time(&mut self, now: Micros, id: WaiterId, out: &mut Out<P, R>) {
        let late = self.margin.lateness(now);
        if self.waiters.get(&id).is_none_or(|w| w.by > now + late) {
            return;
        }
        let Some(waiter) = self.waiters.remove(&id) else { return };
        let Some(call) = self.calls.get_mut(&waiter.call) else { return };
        call.waiters.retain(|w| *w != id);
        let (attempts, worker, request) = (call.attempts, call.worker.clone(), call.current);
        let may_have_run = request.map_or(call.earlier, |request| self.may_have_run(request));
        let Some(call) = self.calls.get(&waiter.call) else { return };
        let over = call.waiters.is_empty() && !may_have_run;
        let answer = match over {
            true => Answer::Refused(Refusal::NotBegun, None),
            false => Answer::Failed(Failure::Deadline),
        };
        out.push(Output::Answer { waiter: id, answer, attempts, worker, path: waiter.path });
        match over {
            true => self.abandon(now, waiter.call, out),
            false => self.linger(now, waiter.call, out),
        }
    }

    /// Whether this try of an event, or one before it, may have run: the one place that says if a call that
    /// is not served has failed or was turned away.
    fn may_have_run(&self, request: RequestId) -> bool {
        let Some(open) = self.tries.get(&request) else { return true };
        self.calls.get(&open.call).is_none_or(|c| c.earlier) || open.may_have_run().is_some()
    }

    fn left(&mut self, now: Micros, id: WaiterId, out: &mut Out<P, R>) {
        let Some(waiter) = self.waiters.remove(&id) else { return };
        if let Some(call) = self.calls.get_mut(&waiter.call) {
            call.waiters.retain(|w| *w != id);
            self.linger(now, waiter.call, out);
        }
    }

    /// Nobody waits any more: the call goes on for a while, as clients that leave early repeat. Wasted where
    /// the client is gone for good; without it a crowd of early leavers would have each try begun and none
    /// finished.
    fn linger(&mut self, now: Micros, id: CallId, out: &mut Out<P, R>) {
        if !self.calls.get(&id).is_some_and(|c| c.waiters.is_empty()) {
            return;
        }
        // Where clients repeat under new names nobody can come back for it.
        if self.settings.linger == 0 {
            self.abandon(now, id, out);
        } else {
            self.due.set(now + self.settings.linger, Due::Linger(id));
        }
    }

    /// Nobody waits for the call or came back for it. Whatever the settings say of calling off what runs, what
    /// waits for a connection still must not begin.
    fn abandon(&mut self, now: Micros, id: CallId, out: &mut Out<P, R>) {
        let Some(call) = self.calls.get(&id).filter(|c| c.waiters.is_empty()) else { return };
        let Some(request) = call.current else { return drop(self.withdraw(now, id)) };
        self.call_off_unwritten(request, out);
        self.events.push_back(Event::ClientGone { id: request });
        self.close(now, request, None);
    }

    /// Takes a call that was never begun out of hand.
    fn withdraw(&mut self, now: Micros, id: CallId) -> Option<Call<P>> {
        let call = self.calls.remove(&id)?;
        let repeat = self.repeat_of(&call.function);
        self.repeats.close(now, &call.identity, repeat, Ended::NeverRan);
        Some(call)
    }

    // ---- ends --------------------------------------------------------------------------------------------

    /// Ends the call of a try: every client that still waits is answered, the record kept.
    fn conclude(&mut self, now: Micros, request: RequestId, answer: Answer<R>, out: &mut Out<P, R>) {
        let Some(open) = self.tries.get(&request).filter(|t| !t.done) else { return };
        let (id, deadline) = (open.call, open.deadline);
        let late = matches!(answer, Answer::Failed(_)) && now + self.settings.module.tick >= deadline;
        let answer = match answer {
            Answer::Failed(_) if !self.may_have_run(request) => {
                self.call_off_unwritten(request, out);
                Answer::Refused(Refusal::NotBegun, None)
            }
            Answer::Failed(_) if late => Answer::Failed(Failure::Deadline),
            answer => answer,
        };
        let reply = if let Answer::Served(reply) = &answer { Some(reply.clone()) } else { None };
        let Some(mut call) = self.close(now, request, reply) else { return };
        let lateness = self.margin.lateness(now);
        // Not who began the call: its own time can only seem longer now by lateness that has faded since, and
        // a call that was given up is answered at once.
        let joined = |w: &WaiterId| self.waiters.get(w).filter(|w| w.path == Path::Joined);
        let ends = |w: &WaiterId| joined(w).map(|w| w.by.saturating_sub(lateness));
        let longest = call.waiters.iter().filter_map(ends).max();
        if late && longest.is_some_and(|by| by > now + self.settings.margin.least) {
            // The one whose event began the call had less patience than others who joined: for them it is
            // as if they repeated the event now.
            let waiting = std::mem::take(&mut call.waiters);
            let stay = |w: &WaiterId| ends(w).is_some_and(|by| by > now);
            let (stay, go): (Vec<_>, Vec<_>) = waiting.into_iter().partition(stay);
            let (attempts, worker) = (call.attempts, call.worker.clone());
            self.answer_all(go, &answer, (attempts, worker.clone()), out);
            let repeat = self.repeat_of(&call.function);
            let until = match self.repeats.judge(now, &call.identity, repeat) {
                Verdict::Fresh => Micros::MAX,
                Verdict::FreshUntil(until) => until,
                _ => {
                    return self.answer_all(
                        stay,
                        &Answer::Failed(Failure::MayHaveRun),
                        (attempts, worker),
                        out,
                    );
                }
            };
            call.earlier |= until < Micros::MAX;
            call.waiters = stay;
            self.repeats.open(&call.identity, repeat, id);
            self.calls.insert(id, call);
            return self.begin(now, id, longest.unwrap_or(now).min(until));
        }
        let waiters = std::mem::take(&mut call.waiters);
        self.answer_all(waiters, &answer, (call.attempts, call.worker), out);
    }

    fn answer_all(
        &mut self,
        waiters: Vec<WaiterId>,
        answer: &Answer<R>,
        of: (u32, Option<WorkerId>),
        out: &mut Out<P, R>,
    ) {
        for waiter in waiters {
            let Some(known) = self.waiters.remove(&waiter) else { continue };
            let (answer, attempts, worker, path) = (answer.clone(), of.0, of.1.clone(), known.path);
            out.push(Output::Answer { waiter, answer, attempts, worker, path });
        }
    }

    /// Marks a try done and takes its call out of hand, with a record of how it ended.
    fn close(&mut self, now: Micros, request: RequestId, reply: Option<R>) -> Option<Call<P>> {
        let open = self.tries.get_mut(&request).filter(|t| !t.done)?;
        open.done = true;
        let call = self.calls.remove(&open.call)?;
        let ended = match (reply, open.may_have_run()) {
            (Some(reply), _) => Ended::Served(reply.clone(), reply.bytes()),
            (None, Some(sent)) => Ended::MayHaveRun(sent),
            (None, None) => Ended::NeverRan,
        };
        if open.over() {
            self.tries.remove(&request);
        }
        let repeat = self.repeat_of(&call.function);
        self.repeats.close(now, &call.identity, repeat, ended);
        Some(call)
    }

    fn ended(&mut self, now: Micros, id: AttemptId, end: AttemptEnd<R>, out: &mut Out<P, R>) {
        let Some(open) = self.tries.get_mut(&id.request) else { return };
        let Some(sent) = open.sent.get_mut(id.number).filter(|s| s.ended.is_none()) else { return };
        // Served without a reply can't be passed on.
        let code = if end.code == Code::Ok && end.reply.is_none() { Code::Unknown } else { end.code };
        sent.ended = Some(code);
        let (worker, latency, done, over) =
            (sent.worker.clone(), now.saturating_sub(sent.at), open.done, open.over());
        let (identity, function) = (open.identity.clone(), open.function.clone());
        if code == Code::Ok {
            match end.reply {
                Some(reply) if !done => self.conclude(now, id.request, Answer::Served(reply), out),
                // Too late for its client, but a repeat may still come for it.
                Some(reply) => {
                    let (repeat, bytes) = (self.repeat_of(&function), reply.bytes());
                    if !matches!(self.repeats.judge(now, &identity, repeat), Verdict::Join(_)) {
                        self.repeats.close(now, &identity, repeat, Ended::Served(reply, bytes));
                    }
                }
                None => {}
            }
        }
        if over {
            self.tries.remove(&id.request);
        }
        self.events.push_back(Event::Outcome(Outcome {
            id: id.request,
            attempt: id.number,
            worker,
            code,
            latency,
            is_final: done || code == Code::Ok,
            copy: end.copy,
            crowd: end.crowd,
            report: end.report,
        }));
    }

    // ---- orders ------------------------------------------------------------------------------------------

    fn ordered(&mut self, now: Micros, id: OrderId, code: Code, count: u32) {
        if let Some(Order::Load { worker, function, sent }) = self.orders.remove(&id) {
            let latency = now.saturating_sub(sent);
            self.events.push_back(Event::Loaded { worker, function, count, code, latency });
        }
    }

    fn probed(&mut self, now: Micros, id: OrderId, code: Code, report: Vec<f64>) {
        if let Some(Order::Probe { worker, sent }) = self.orders.remove(&id) {
            let latency = now.saturating_sub(sent);
            self.events.push_back(Event::Probed { worker, code, latency, report });
        }
    }

    fn overdue(&mut self, now: Micros, id: OrderId, out: &mut Out<P, R>) {
        match self.orders.get(&id) {
            Some(Order::Load { .. }) => self.ordered(now, id, Code::Timeout, 0),
            Some(Order::Probe { .. }) => self.probed(now, id, Code::Timeout, Vec::new()),
            None => return,
        }
        out.push(Output::AbortOrder(id));
    }

    // ---- the controller ----------------------------------------------------------------------------------

    /// Hands the controller what has happened, and carries out its actions, until there is no more.
    fn settle(&mut self, now: Micros, out: &mut Out<P, R>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.controller.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, out);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Micros, action: Action, out: &mut Out<P, R>) {
        match action {
            Action::Send { id, worker, until } => self.send(now, id, worker, until, out),
            Action::Cancel { id, attempt } => {
                let open = |t: &Try| t.sent.get(attempt).is_some_and(|s| s.ended.is_none());
                if self.tries.get(&id).is_some_and(open) {
                    out.push(Output::Abort(AttemptId { request: id, number: attempt }));
                }
            }
            Action::Refuse { id, wait } => {
                self.conclude(now, id, Answer::Refused(Refusal::Overload, wait), out);
            }
            Action::Fail { id } => self.conclude(now, id, Answer::Failed(Failure::Attempts), out),
            Action::Timer { after, token } => self.due.set(now + after, Due::Module(token)),
            Action::Probe { worker } => {
                let order = self.order(now, Order::Probe { worker: worker.clone(), sent: now });
                out.push(Output::Probe(order, worker));
            }
            Action::Load { worker, function, count } => {
                let load = Order::Load { worker: worker.clone(), function: function.clone(), sent: now };
                let order = self.order(now, load);
                out.push(Output::Order { order, worker, function, count });
            }
            Action::Drop { worker, function } => out.push(Output::Drop(worker, function)),
            Action::Watch => out.push(Output::Watch),
        }
    }

    fn order(&mut self, now: Micros, order: Order) -> OrderId {
        let id = OrderId(self.sequence);
        self.sequence += 1;
        self.orders.insert(id, order);
        self.due.set(now + self.settings.module.copies.order_timeout, Due::Order(id));
        id
    }

    fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        worker: WorkerId,
        until: Option<Micros>,
        out: &mut Out<P, R>,
    ) {
        let Some(open) = self.tries.get_mut(&id) else { return };
        let number = open.sent.len();
        open.sent.push(Sent { worker: worker.clone(), at: now, written: false, ended: None });
        let call = self.calls.get_mut(&open.call).filter(|_| !open.done);
        let Some(call) = call else {
            // The controller knows better than to send for what is done; if ever, nothing leaves.
            if let Some(sent) = open.sent.last_mut() {
                sent.ended = Some(Code::Moot);
            }
            let (code, copy) = (Code::Moot, CopyStatus::Unknown);
            let (latency, last, crowd, report) = (0, true, None, Vec::new());
            let moot =
                Outcome { id, attempt: number, worker, code, latency, is_final: last, copy, crowd, report };
            return self.events.push_back(Event::Outcome(moot));
        };
        call.attempts += 1;
        call.worker = Some(worker.clone());
        out.push(Output::Start {
            attempt: AttemptId { request: id, number },
            worker,
            identity: call.identity.clone(),
            function: call.function.clone(),
            payload: call.payload.clone(),
            until: until.unwrap_or(open.deadline).min(open.deadline),
        });
    }
}
