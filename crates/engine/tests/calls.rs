//! Calls through the engine: inputs and times in, outputs out, no socket and no clock.
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

struct Bed {
    engine: Engine<(), Text>,
    now: Micros,
    out: Vec<Output<(), Text>>,
}

impl Bed {
    /// Workers w0, w1, ... that load on a call, so no order stands between a call and its worker.
    fn new(repeat: Repeat, workers: usize, change: impl FnOnce(&mut EngineSettings)) -> Self {
        let mut module = Settings::new(vec![Class::new(500 * MS, 2 * S, repeat)], vec![4_000.0]);
        (module.copies.load_on_miss, module.copies.orders) = (true, false);
        let mut settings = EngineSettings {
            module,
            in_hand: 10,
            waiters: 3,
            linger: 300 * MS,
            repeats: RepeatLimits::default(),
            margin: MarginSettings::default(),
        };
        change(&mut settings);
        let mut bed =
            Self { engine: Engine::new(settings, 1).expect("good settings"), now: START, out: Vec::new() };
        let members = (0..workers).map(member).collect();
        bed.tell(Input::Members(MembersKind::Whole, members));
        bed
    }

    fn tell(&mut self, input: Input<(), Text>) {
        self.engine.handle(self.now, input, &mut self.out);
    }

    fn call(&mut self, waiter: u64, id: &str, patience: Micros) {
        self.tell(Input::Call(new_call(self.now, waiter, id, Arc::new(function()), patience)));
    }

    /// Moves the clock on, waking the engine when it wants to be.
    fn advance(&mut self, by: Micros) {
        let until = self.now + by;
        while let Some(due) = self.engine.next_due(self.now).filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.engine.wake(self.now, &mut self.out);
            self.now += 1;
        }
        self.now = until;
    }

    fn started(&mut self) -> Vec<AttemptId> {
        let pick = |o: &Output<(), Text>| match o {
            Output::Start { attempt, .. } => Some(*attempt),
            _ => None,
        };
        let all: Vec<_> = self.out.iter().filter_map(pick).collect();
        self.out.retain(|o| pick(o).is_none());
        all.iter().for_each(|id| self.engine.written(*id));
        all
    }

    fn answers(&mut self) -> Vec<(u64, Answer<Text>)> {
        let pick = |o: &Output<(), Text>| match o {
            Output::Answer { waiter, answer, .. } => Some((waiter.0, answer.clone())),
            _ => None,
        };
        let all = self.out.iter().filter_map(pick).collect();
        self.out.retain(|o| pick(o).is_none());
        all
    }

    fn ended(&mut self, attempt: AttemptId, code: Code, reply: Option<Text>) {
        let copy = if code == Code::Ok { CopyStatus::Loaded } else { CopyStatus::Unknown };
        self.tell(Input::Ended(attempt, AttemptEnd { copy, reply, ..AttemptEnd::bare(code) }));
    }
}

fn function() -> Function {
    Function { name: "f".into(), class: 0, memory_mb: 100.0, lanes: 8, load: None }
}

fn new_call(now: Micros, waiter: u64, id: &str, function: Arc<Function>, patience: Micros) -> NewCall<()> {
    let (name, source, id) = (function.name.clone(), "s".into(), id.into());
    let identity = Identity { tenant: 0, function: name, source, id };
    let (waiter, deadline, payload) = (WaiterId(waiter), now + patience, Arc::new(()));
    NewCall { waiter, identity, function, deadline, payload }
}

/// Worker w0, w1, ..., long started.
fn member(number: usize) -> Member {
    Member::active(&format!("w{number}"))
}

fn served(text: &'static str) -> Answer<Text> {
    Answer::Served(Text(text))
}

#[test]
fn repeats_join_and_then_get_the_record() {
    let mut bed = Bed::new(Repeat::Unsafe, 2, |_| {});
    bed.call(1, "e", 2 * S);
    bed.call(2, "e", 2 * S);
    let [attempt] = bed.started()[..] else { panic!("one attempt") };
    bed.ended(attempt, Code::Ok, Some(Text("yes")));
    assert_eq!(bed.answers(), [(1, served("yes")), (2, served("yes"))]);
    bed.call(3, "e", 2 * S);
    assert_eq!((bed.answers(), bed.started().len()), (vec![(3, served("yes"))], 0));
    assert_eq!(bed.engine.in_hand(), 0);
}

#[test]
fn each_waiter_keeps_its_own_deadline() {
    let mut bed = Bed::new(Repeat::Unsafe, 1, |_| {});
    bed.call(1, "e", 2 * S);
    bed.call(2, "e", 200 * MS);
    let [attempt] = bed.started()[..] else { panic!("one attempt") };
    bed.advance(200 * MS);
    assert_eq!(bed.answers(), [(2, Answer::Failed(Failure::Deadline))]);
    bed.ended(attempt, Code::Ok, Some(Text("yes")));
    assert_eq!(bed.answers(), [(1, served("yes"))]);
}

#[test]
fn one_who_joins_with_more_patience_outlives_the_first_where_the_class_allows() {
    for (repeat, again) in [(Repeat::Safe, true), (Repeat::Unsafe, false)] {
        let mut bed = Bed::new(repeat, 1, |_| {});
        bed.call(1, "e", 300 * MS);
        bed.advance(100 * MS);
        bed.call(2, "e", 2 * S);
        let first = bed.started()[0];
        bed.advance(200 * MS);
        let answers = bed.answers();
        assert_eq!(answers[0], (1, Answer::Failed(Failure::Deadline)));
        bed.ended(first, Code::Cancelled, None);
        if again {
            let [second] = bed.started()[..] else { panic!("a second try for the patient one") };
            bed.ended(second, Code::Ok, Some(Text("late")));
            assert_eq!(bed.answers(), [(2, served("late"))]);
        } else {
            assert_eq!(answers[1..], [(2, Answer::Failed(Failure::MayHaveRun))]);
            assert_eq!(bed.started(), []);
        }
    }
}

#[test]
fn a_call_lingers_for_a_repeat_and_is_called_off_without_one() {
    let mut bed = Bed::new(Repeat::Safe, 1, |_| {});
    bed.call(1, "e", 2 * S);
    bed.tell(Input::Left(WaiterId(1)));
    bed.advance(200 * MS);
    bed.call(2, "e", 2 * S);
    bed.advance(200 * MS);
    assert_eq!(bed.engine.in_hand(), 1);
    bed.tell(Input::Left(WaiterId(2)));
    bed.advance(400 * MS);
    assert_eq!((bed.engine.in_hand(), bed.answers().len()), (0, 0));
    assert!(bed.out.iter().any(|o| matches!(o, Output::Abort(_))));
}

#[test]
fn a_client_that_left_has_nothing_begun_whether_settings_let_attempts_be_called_off_or_not() {
    for cancel in [true, false] {
        let mut bed = Bed::new(Repeat::Safe, 1, |s| {
            (s.linger, s.module.limits.cancel) = (0, cancel);
        });
        // Its attempt waits for a connection: told to the links, and no byte of it given to a socket.
        bed.call(1, "waits", 2 * S);
        let waits = bed.out.iter().find_map(|o| match o {
            Output::Start { attempt, .. } => Some(*attempt),
            _ => None,
        });
        bed.out.clear();
        bed.tell(Input::Left(WaiterId(1)));
        let off = |o: &Output<(), Text>| matches!(o, Output::Abort(id) if Some(*id) == waits);
        assert!(bed.out.iter().any(off), "cancel {cancel}: {:?}", bed.out);
        bed.out.clear();
        bed.ended(waits.expect("one attempt"), Code::Moot, None);
        assert!(bed.started().is_empty() && bed.engine.in_hand() == 0);
        // One that never ran is sent again, and its client leaves meanwhile.
        bed.call(2, "again", 2 * S);
        let again = bed.started()[0];
        bed.tell(Input::Left(WaiterId(2)));
        bed.ended(again, Code::Miss, None);
        bed.advance(3 * S);
        assert_eq!((bed.started(), bed.answers()), (vec![], vec![]), "cancel {cancel}");
        // One that has come, and whose client leaves before it is begun.
        let (now, function) = (bed.now, Arc::new(function()));
        bed.tell(Input::Arrived(new_call(now, 3, "unbegun", function, 2 * S)));
        bed.tell(Input::Left(WaiterId(3)));
        // Who is next is past those who have left.
        let function = Arc::new(crate::function());
        bed.tell(Input::Arrived(new_call(now, 4, "next", function, 2 * S)));
        assert_eq!(bed.engine.next_waiter(), Some(WaiterId(4)));
        bed.tell(Input::Left(WaiterId(4)));
        assert_eq!(bed.engine.next_waiter(), None);
        assert!(!bed.engine.begin_next(bed.now, &mut bed.out));
        assert_eq!((bed.started(), bed.answers(), bed.engine.in_hand()), (vec![], vec![], 0));
    }
}

#[test]
fn every_bound_refuses_and_only_what_never_ran() {
    let mut bed = Bed::new(Repeat::Unsafe, 1, |s| s.repeats.guards = 12);
    for waiter in 0..11 {
        bed.call(waiter, &format!("e{waiter}"), 2 * S);
    }
    assert_eq!(bed.answers(), [(10, Answer::Refused(Refusal::InHand, None))]);
    for waiter in 20..23 {
        bed.call(waiter, "e0", 2 * S);
    }
    // A full call in hand may run: one more client of it is failed, not refused.
    assert_eq!(bed.answers(), [(22, Answer::Failed(Failure::MayHaveRun))]);
    bed.call(30, "late", MS);
    assert_eq!(bed.answers(), [(30, Answer::Refused(Refusal::TooLate, None))]);
    bed.tell(Input::Stop);
    for attempt in bed.started() {
        bed.ended(attempt, Code::Ok, Some(Text("yes")));
    }
    bed.answers();
    bed.call(40, "new", 2 * S);
    bed.call(41, "e0", 2 * S);
    assert_eq!(bed.answers(), [(40, Answer::Refused(Refusal::Stopping, None)), (41, served("yes"))]);
}

/// What is left of a patience is never more than the time until the process is killed, whenever that is told.
#[test]
fn who_would_wait_longer_than_the_process_lives_is_answered_before_its_end() {
    // With a worker that hangs the call may have run; without one it never did, and trying again is harmless.
    let cases = [(1, Answer::Failed(Failure::Deadline)), (0, Answer::Refused(Refusal::NotBegun, None))];
    for ((workers, answer), told_first) in
        cases.into_iter().flat_map(|case| [(case.clone(), true), (case, false)])
    {
        let mut bed = Bed::new(Repeat::Unsafe, workers, |s| s.linger = 0);
        let end = bed.now + 3 * S;
        if !told_first {
            bed.call(1, "e", 10 * S);
        }
        bed.tell(Input::EndBy(end));
        bed.tell(Input::EndBy(end + 5 * S));
        if told_first {
            bed.call(1, "e", 10 * S);
        }
        let until = bed
            .out
            .iter()
            .find_map(|o| if let Output::Start { until, .. } = o { Some(*until) } else { None });
        assert_eq!(until.is_some(), workers > 0);
        assert!(!told_first || until.is_none_or(|until| until < end), "its worker is told {until:?}");
        bed.started();
        bed.advance(3 * S - 100 * MS);
        assert_eq!(bed.answers(), vec![], "answered before it has to be");
        bed.advance(100 * MS);
        assert_eq!(bed.answers(), [(1, answer.clone())]);
        assert_eq!(bed.engine.in_hand(), 0);
    }
}

#[test]
fn a_served_attempt_without_a_reply_is_not_served() {
    let mut bed = Bed::new(Repeat::Unsafe, 2, |_| {});
    bed.call(1, "e", 2 * S);
    let attempt = bed.started()[0];
    bed.ended(attempt, Code::Ok, None);
    assert_eq!((bed.answers(), bed.started()), (vec![(1, Answer::Failed(Failure::Attempts))], vec![]));
}

#[test]
fn the_same_inputs_give_the_same_outputs() {
    let run = || {
        let mut bed = Bed::new(Repeat::Safe, 5, |s| s.in_hand = 100);
        let mut seen = String::new();
        for step in 0..300u64 {
            bed.call(step, &format!("e{}", step % 170), 400 * MS + step * 100);
            for (index, attempt) in bed.started().into_iter().enumerate() {
                let code = [Code::Ok, Code::Reset, Code::Miss, Code::Full][(step as usize + index) % 4];
                bed.ended(attempt, code, (code == Code::Ok).then_some(Text("x")));
            }
            bed.advance(7 * MS);
            seen.push_str(&format!("{:?}", bed.out));
            bed.out.clear();
        }
        seen
    };
    assert_eq!(run(), run());
}

#[test]
fn a_call_that_never_ran_is_refused_whatever_ran_out_and_stays_without_effect() {
    for repeat in [Repeat::Safe, Repeat::Unsafe] {
        // Without workers nothing can be sent.
        let mut bed = Bed::new(repeat, 0, |_| {});
        bed.call(1, "e", 300 * MS);
        bed.advance(300 * MS);
        assert_eq!(bed.answers(), [(1, Answer::Refused(Refusal::NotBegun, None))]);
        // It does not linger: told that it took no effect, it must not begin after all.
        assert_eq!((bed.engine.in_hand(), bed.started().len()), (0, 0));
        // Every attempt came back unseen.
        let mut bed = Bed::new(repeat, 3, |_| {});
        bed.call(1, "e", 2 * S);
        while let Some(attempt) = bed.started().first() {
            bed.ended(*attempt, Code::Miss, None);
        }
        bed.advance(2 * S);
        assert!(matches!(bed.answers()[..], [(1, Answer::Refused(..))]));
        // One that is out may run: failed.
        bed.call(2, "f", 300 * MS);
        assert_eq!(bed.started().len(), 1);
        bed.advance(300 * MS);
        assert_eq!(bed.answers(), [(2, Answer::Failed(Failure::Deadline))]);
    }
}

#[test]
fn a_loop_that_turns_late_answers_calls_in_hand_earlier_too() {
    let mut bed = Bed::new(Repeat::Safe, 1, |_| {});
    bed.call(1, "e", 500 * MS);
    assert_eq!(bed.started().len(), 1);
    bed.advance(400 * MS);
    assert_eq!(bed.answers(), []);
    // The margin was 10 ms; the loop now shows that it may be 80 ms late.
    bed.engine.note_late(bed.now, bed.now - 80 * MS);
    assert!(bed.engine.next_due(bed.now).is_some_and(|due| due <= bed.now + 11 * MS));
    bed.advance(15 * MS);
    assert_eq!(bed.answers(), [(1, Answer::Failed(Failure::Deadline))]);
}

#[test]
fn an_attempt_that_still_waits_for_its_connection_has_not_run_and_never_will() {
    let mut bed = Bed::new(Repeat::Unsafe, 1, |s| s.module.limits.cancel = false);
    bed.call(1, "e", 300 * MS);
    assert!(bed.out.iter().any(|o| matches!(o, Output::Start { .. })));
    bed.advance(300 * MS);
    assert_eq!(bed.answers(), [(1, Answer::Refused(Refusal::NotBegun, None))]);
    assert!(bed.out.iter().any(|o| matches!(o, Output::Abort(_))), "it must not be written any more");
    // The event is free for another try.
    bed.call(2, "e", 2 * S);
    assert_eq!(bed.answers(), []);
    assert_eq!(bed.engine.in_hand(), 1);
}

#[test]
fn a_call_sent_and_out_of_time_in_one_wake_is_not_told_that_it_never_ran() {
    let mut bed = Bed::new(Repeat::Unsafe, 0, |_| {});
    // Lateness that has faded by the call's end: the module's deadline is then before the client's answer.
    bed.engine.note_late(START, START - 200 * MS);
    bed.call(1, "e", 2 * S);
    bed.advance(1_700 * MS);
    bed.tell(Input::Members(MembersKind::Whole, vec![member(0)]));
    // The loop stands still over the sweep that sends the call and over the call's deadline.
    bed.now += 100 * MS;
    let now = bed.now;
    bed.engine.wake(now, &mut bed.out);
    assert_eq!(bed.answers(), []);
    assert_eq!(bed.started().len(), 1);
    while bed.engine.next_due(now).is_some_and(|due| due <= now) {
        bed.engine.wake(now, &mut bed.out);
    }
    assert_eq!(bed.answers(), [(1, Answer::Failed(Failure::Deadline))]);
}
