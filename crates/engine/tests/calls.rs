//! Tests of single calls and their repeats: inputs and times in, outputs out, without sockets or a clock.
use basaltward::{Class, Code, CopyStatus, Member, MembersKind, Micros, Repeat, Settings};
use basaltward_engine::*;
use std::sync::Arc;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const START: Micros = 100 * S;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Text(&'static str);

impl Reply for Text {
    fn bytes(&self) -> usize {
        self.0.len()
    }
}

struct TestBed {
    engine: Engine<(), Text>,
    now: Micros,
    outputs: Vec<Output<(), Text>>,
}

impl TestBed {
    /// Creates workers w0, w1, ... that load a function when its call arrives, so that no load order precedes a
    /// call.
    fn new(repeat: Repeat, workers: usize, change: impl FnOnce(&mut EngineSettings)) -> Self {
        let mut controller = Settings::new(vec![Class::new(500 * MS, 2 * S, repeat)], vec![4_000.0]);
        (controller.copies.load_on_miss, controller.copies.orders) = (true, false);
        let mut settings = EngineSettings {
            controller,
            max_in_flight: 10,
            max_waiters: 3,
            linger: 300 * MS,
            repeats: RepeatLimits::default(),
            margin: MarginSettings::default(),
        };
        change(&mut settings);
        let mut bed = Self {
            engine: Engine::new(settings, 1).expect("good settings"),
            now: START,
            outputs: Vec::new(),
        };
        let members = (0..workers).map(member).collect();
        bed.input(Input::Members(MembersKind::Whole, members));
        bed
    }

    fn input(&mut self, input: Input<(), Text>) {
        self.engine.handle(self.now, input, &mut self.outputs);
    }

    fn call(&mut self, waiter: u64, id: &str, patience: Micros) {
        self.input(Input::Call(new_call(self.now, waiter, id, Arc::new(function()), patience)));
    }

    /// Advances the clock and wakes the engine whenever it is due.
    fn advance(&mut self, by: Micros) {
        let until = self.now + by;
        while let Some(due) = self.engine.next_due(self.now).filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.engine.wake(self.now, &mut self.outputs);
            self.now += 1;
        }
        self.now = until;
    }

    /// Removes the started attempts from the outputs and marks them as written.
    fn take_starts(&mut self) -> Vec<AttemptId> {
        let pick = |o: &Output<(), Text>| match o {
            Output::Start { attempt, .. } => Some(*attempt),
            _ => None,
        };
        let all: Vec<_> = self.outputs.iter().filter_map(pick).collect();
        self.outputs.retain(|o| pick(o).is_none());
        all.iter().for_each(|id| self.engine.mark_written(*id));
        all
    }

    /// Removes the answers from the outputs.
    fn take_answers(&mut self) -> Vec<(u64, Answer<Text>)> {
        let pick = |o: &Output<(), Text>| match o {
            Output::Answer { waiter, answer, .. } => Some((waiter.0, answer.clone())),
            _ => None,
        };
        let all = self.outputs.iter().filter_map(pick).collect();
        self.outputs.retain(|o| pick(o).is_none());
        all
    }

    fn end_attempt(&mut self, attempt: AttemptId, code: Code, reply: Option<Text>) {
        let copy = if code == Code::Ok { CopyStatus::Loaded } else { CopyStatus::Unknown };
        self.input(Input::AttemptEnded(attempt, AttemptEnd { copy, reply, ..AttemptEnd::from_code(code) }));
    }
}

fn function() -> Function {
    Function { name: "f".into(), class: 0, memory_mb: 100.0, lanes: 8, load_time: None }
}

fn new_call(now: Micros, waiter: u64, id: &str, function: Arc<Function>, patience: Micros) -> NewCall<()> {
    let (name, source, id) = (function.name.clone(), "s".into(), id.into());
    let identity = Identity { tenant: 0, function: name, source, id };
    let (waiter, deadline, payload) = (WaiterId(waiter), now + patience, Arc::new(()));
    NewCall { waiter, identity, function, deadline, payload }
}

/// Worker w0, w1, ..., active for a long time.
fn member(number: usize) -> Member {
    Member::active(&format!("w{number}"))
}

fn served(text: &'static str) -> Answer<Text> {
    Answer::Served(Text(text))
}

#[test]
fn repeats_join_the_call_and_later_get_the_recorded_answer() {
    let mut bed = TestBed::new(Repeat::Unsafe, 2, |_| {});
    bed.call(1, "e", 2 * S);
    bed.call(2, "e", 2 * S);
    let [attempt] = bed.take_starts()[..] else { panic!("one attempt") };
    bed.end_attempt(attempt, Code::Ok, Some(Text("yes")));
    assert_eq!(bed.take_answers(), [(1, served("yes")), (2, served("yes"))]);
    bed.call(3, "e", 2 * S);
    assert_eq!((bed.take_answers(), bed.take_starts().len()), (vec![(3, served("yes"))], 0));
    assert_eq!(bed.engine.calls_in_flight(), 0);
}

#[test]
fn each_waiter_keeps_its_own_deadline() {
    let mut bed = TestBed::new(Repeat::Unsafe, 1, |_| {});
    bed.call(1, "e", 2 * S);
    bed.call(2, "e", 200 * MS);
    let [attempt] = bed.take_starts()[..] else { panic!("one attempt") };
    bed.advance(200 * MS);
    assert_eq!(bed.take_answers(), [(2, Answer::Failed(Failure::Deadline))]);
    bed.end_attempt(attempt, Code::Ok, Some(Text("yes")));
    assert_eq!(bed.take_answers(), [(1, served("yes"))]);
}

#[test]
fn a_joined_client_with_more_patience_gets_a_second_run_if_the_class_allows() {
    for (repeat, again) in [(Repeat::Safe, true), (Repeat::Unsafe, false)] {
        let mut bed = TestBed::new(repeat, 1, |_| {});
        bed.call(1, "e", 300 * MS);
        bed.advance(100 * MS);
        bed.call(2, "e", 2 * S);
        let first = bed.take_starts()[0];
        bed.advance(200 * MS);
        let answers = bed.take_answers();
        assert_eq!(answers[0], (1, Answer::Failed(Failure::Deadline)));
        bed.end_attempt(first, Code::Cancelled, None);
        if again {
            let [second] = bed.take_starts()[..] else { panic!("a second run for the joined client") };
            bed.end_attempt(second, Code::Ok, Some(Text("late")));
            assert_eq!(bed.take_answers(), [(2, served("late"))]);
        } else {
            assert_eq!(answers[1..], [(2, Answer::Failed(Failure::MayHaveRun))]);
            assert_eq!(bed.take_starts(), []);
        }
    }
}

#[test]
fn a_call_without_clients_lingers_for_a_repeat_and_is_then_cancelled() {
    let mut bed = TestBed::new(Repeat::Safe, 1, |_| {});
    bed.call(1, "e", 2 * S);
    bed.input(Input::ClientLeft(WaiterId(1)));
    bed.advance(200 * MS);
    bed.call(2, "e", 2 * S);
    bed.advance(200 * MS);
    assert_eq!(bed.engine.calls_in_flight(), 1);
    bed.input(Input::ClientLeft(WaiterId(2)));
    bed.advance(400 * MS);
    assert_eq!((bed.engine.calls_in_flight(), bed.take_answers().len()), (0, 0));
    assert!(bed.outputs.iter().any(|o| matches!(o, Output::Abort(_))));
}

#[test]
fn no_attempt_begins_after_the_client_has_left_whether_or_not_settings_allow_to_cancel() {
    for cancel in [true, false] {
        let mut bed = TestBed::new(Repeat::Safe, 1, |s| {
            (s.linger, s.controller.limits.cancel) = (0, cancel);
        });
        // The attempt waits for a connection: it was output, but no byte of it was written to a socket.
        bed.call(1, "waits", 2 * S);
        let waits = bed.outputs.iter().find_map(|o| match o {
            Output::Start { attempt, .. } => Some(*attempt),
            _ => None,
        });
        bed.outputs.clear();
        bed.input(Input::ClientLeft(WaiterId(1)));
        let off = |o: &Output<(), Text>| matches!(o, Output::Abort(id) if Some(*id) == waits);
        assert!(bed.outputs.iter().any(off), "cancel {cancel}: {:?}", bed.outputs);
        bed.outputs.clear();
        bed.end_attempt(waits.expect("one attempt"), Code::Moot, None);
        assert!(bed.take_starts().is_empty() && bed.engine.calls_in_flight() == 0);
        // An attempt that never ran would be sent again, but its client leaves meanwhile.
        bed.call(2, "again", 2 * S);
        let again = bed.take_starts()[0];
        bed.input(Input::ClientLeft(WaiterId(2)));
        bed.end_attempt(again, Code::Miss, None);
        bed.advance(3 * S);
        assert_eq!((bed.take_starts(), bed.take_answers()), (vec![], vec![]), "cancel {cancel}");
        // A queued call whose client leaves before the call begins.
        let (now, function) = (bed.now, Arc::new(function()));
        bed.input(Input::QueuedCall(new_call(now, 3, "unbegun", function, 2 * S)));
        bed.input(Input::ClientLeft(WaiterId(3)));
        // The next waiter skips clients that have left.
        let function = Arc::new(crate::function());
        bed.input(Input::QueuedCall(new_call(now, 4, "next", function, 2 * S)));
        assert_eq!(bed.engine.next_waiter(), Some(WaiterId(4)));
        bed.input(Input::ClientLeft(WaiterId(4)));
        assert_eq!(bed.engine.next_waiter(), None);
        assert!(!bed.engine.begin_next(bed.now, &mut bed.outputs));
        assert_eq!(
            (bed.take_starts(), bed.take_answers(), bed.engine.calls_in_flight()),
            (vec![], vec![], 0)
        );
    }
}

#[test]
fn every_limit_refuses_only_calls_that_never_ran() {
    let mut bed = TestBed::new(Repeat::Unsafe, 1, |s| s.repeats.max_guards = 12);
    for waiter in 0..11 {
        bed.call(waiter, &format!("e{waiter}"), 2 * S);
    }
    assert_eq!(bed.take_answers(), [(10, Answer::Refused(Refusal::TooManyInFlight, None))]);
    for waiter in 20..23 {
        bed.call(waiter, "e0", 2 * S);
    }
    // The call with the maximum number of clients may run: a further client gets a failure, not a refusal.
    assert_eq!(bed.take_answers(), [(22, Answer::Failed(Failure::MayHaveRun))]);
    bed.call(30, "late", MS);
    assert_eq!(bed.take_answers(), [(30, Answer::Refused(Refusal::TooLittleTime, None))]);
    bed.input(Input::Stop);
    for attempt in bed.take_starts() {
        bed.end_attempt(attempt, Code::Ok, Some(Text("yes")));
    }
    bed.take_answers();
    bed.call(40, "new", 2 * S);
    bed.call(41, "e0", 2 * S);
    assert_eq!(bed.take_answers(), [(40, Answer::Refused(Refusal::Stopping, None)), (41, served("yes"))]);
}

/// A client's remaining time never exceeds the time until the process is killed, whether that time is known
/// before or after the call arrives.
#[test]
fn a_client_that_would_outlast_the_process_is_answered_before_its_exit() {
    // With a worker that hangs, the call may have run; without a worker it never ran, and a retry is harmless.
    let cases = [(1, Answer::Failed(Failure::Deadline)), (0, Answer::Refused(Refusal::NotStarted, None))];
    for ((workers, answer), exit_known_first) in
        cases.into_iter().flat_map(|case| [(case.clone(), true), (case, false)])
    {
        let mut bed = TestBed::new(Repeat::Unsafe, workers, |s| s.linger = 0);
        let end = bed.now + 3 * S;
        if !exit_known_first {
            bed.call(1, "e", 10 * S);
        }
        bed.input(Input::ExitAt(end));
        bed.input(Input::ExitAt(end + 5 * S));
        if exit_known_first {
            bed.call(1, "e", 10 * S);
        }
        let until = bed
            .outputs
            .iter()
            .find_map(|o| if let Output::Start { until, .. } = o { Some(*until) } else { None });
        assert_eq!(until.is_some(), workers > 0);
        assert!(
            !exit_known_first || until.is_none_or(|until| until < end),
            "the attempt's deadline is {until:?}"
        );
        bed.take_starts();
        bed.advance(3 * S - 100 * MS);
        assert_eq!(bed.take_answers(), vec![], "answered too early");
        bed.advance(100 * MS);
        assert_eq!(bed.take_answers(), [(1, answer.clone())]);
        assert_eq!(bed.engine.calls_in_flight(), 0);
    }
}

#[test]
fn a_served_attempt_without_a_reply_is_not_served() {
    let mut bed = TestBed::new(Repeat::Unsafe, 2, |_| {});
    bed.call(1, "e", 2 * S);
    let attempt = bed.take_starts()[0];
    bed.end_attempt(attempt, Code::Ok, None);
    assert_eq!(
        (bed.take_answers(), bed.take_starts()),
        (vec![(1, Answer::Failed(Failure::AttemptsExhausted))], vec![])
    );
}

#[test]
fn the_same_inputs_give_the_same_outputs() {
    let run = || {
        let mut bed = TestBed::new(Repeat::Safe, 5, |s| s.max_in_flight = 100);
        let mut seen = String::new();
        for step in 0..300u64 {
            bed.call(step, &format!("e{}", step % 170), 400 * MS + step * 100);
            for (index, attempt) in bed.take_starts().into_iter().enumerate() {
                let code = [Code::Ok, Code::Reset, Code::Miss, Code::Full][(step as usize + index) % 4];
                bed.end_attempt(attempt, code, (code == Code::Ok).then_some(Text("x")));
            }
            bed.advance(7 * MS);
            seen.push_str(&format!("{:?}", bed.outputs));
            bed.outputs.clear();
        }
        seen
    };
    assert_eq!(run(), run());
}

#[test]
fn a_call_that_never_ran_is_refused_and_does_not_begin_afterwards() {
    for repeat in [Repeat::Safe, Repeat::Unsafe] {
        // Without workers nothing can be sent.
        let mut bed = TestBed::new(repeat, 0, |_| {});
        bed.call(1, "e", 300 * MS);
        bed.advance(300 * MS);
        assert_eq!(bed.take_answers(), [(1, Answer::Refused(Refusal::NotStarted, None))]);
        // It does not linger: the answer to its client said that it took no effect, so it must not begin.
        assert_eq!((bed.engine.calls_in_flight(), bed.take_starts().len()), (0, 0));
        // No attempt ran: each worker answered that it has no copy.
        let mut bed = TestBed::new(repeat, 3, |_| {});
        bed.call(1, "e", 2 * S);
        while let Some(attempt) = bed.take_starts().first() {
            bed.end_attempt(*attempt, Code::Miss, None);
        }
        bed.advance(2 * S);
        assert!(matches!(bed.take_answers()[..], [(1, Answer::Refused(..))]));
        // A written attempt may run, so the call fails.
        bed.call(2, "f", 300 * MS);
        assert_eq!(bed.take_starts().len(), 1);
        bed.advance(300 * MS);
        assert_eq!(bed.take_answers(), [(2, Answer::Failed(Failure::Deadline))]);
    }
}

#[test]
fn a_loop_that_becomes_late_answers_calls_in_flight_earlier_too() {
    let mut bed = TestBed::new(Repeat::Safe, 1, |_| {});
    bed.call(1, "e", 500 * MS);
    assert_eq!(bed.take_starts().len(), 1);
    bed.advance(400 * MS);
    assert_eq!(bed.take_answers(), []);
    // The margin was 10 ms; now the loop has been 80 ms late.
    bed.engine.record_lateness(bed.now, bed.now - 80 * MS);
    assert!(bed.engine.next_due(bed.now).is_some_and(|due| due <= bed.now + 11 * MS));
    bed.advance(15 * MS);
    assert_eq!(bed.take_answers(), [(1, Answer::Failed(Failure::Deadline))]);
}

#[test]
fn an_attempt_that_still_waits_for_a_connection_has_not_run_and_is_cancelled() {
    let mut bed = TestBed::new(Repeat::Unsafe, 1, |s| s.controller.limits.cancel = false);
    bed.call(1, "e", 300 * MS);
    assert!(bed.outputs.iter().any(|o| matches!(o, Output::Start { .. })));
    bed.advance(300 * MS);
    assert_eq!(bed.take_answers(), [(1, Answer::Refused(Refusal::NotStarted, None))]);
    assert!(bed.outputs.iter().any(|o| matches!(o, Output::Abort(_))), "it must not be written later");
    // The event may run again.
    bed.call(2, "e", 2 * S);
    assert_eq!(bed.take_answers(), []);
    assert_eq!(bed.engine.calls_in_flight(), 1);
}

#[test]
fn a_call_sent_and_expired_in_one_wake_up_does_not_count_as_never_run() {
    let mut bed = TestBed::new(Repeat::Unsafe, 0, |_| {});
    // The lateness decays until the call's deadline, so the controller's deadline is before the time at
    // which the client has to be answered.
    bed.engine.record_lateness(START, START - 200 * MS);
    bed.call(1, "e", 2 * S);
    bed.advance(1_700 * MS);
    bed.input(Input::Members(MembersKind::Whole, vec![member(0)]));
    // The loop is suspended during the controller's sweep that sends the call and beyond the call's deadline.
    bed.now += 100 * MS;
    let now = bed.now;
    bed.engine.wake(now, &mut bed.outputs);
    assert_eq!(bed.take_answers(), []);
    assert_eq!(bed.take_starts().len(), 1);
    while bed.engine.next_due(now).is_some_and(|due| due <= now) {
        bed.engine.wake(now, &mut bed.outputs);
    }
    assert_eq!(bed.take_answers(), [(1, Answer::Failed(Failure::Deadline))]);
}
