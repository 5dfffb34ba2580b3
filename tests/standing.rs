//! What a worker may get while the list of workers is out of reach: leases, questions, denials, and the way back.
mod common;
use basaltward::*;
use common::*;

const GRACE: Micros = S;

struct Outage {
    bed: Bed,
    /// When what the list is missing counts as told.
    told_at: Micros,
    next: u64,
}

fn leased(probes: bool) -> Settings {
    let mut settings = settings(Repeat::Safe);
    settings.rules.drain_grace = Some(GRACE);
    settings.limits.probes = probes;
    settings.copies.orders = false;
    settings.copies.load_on_miss = true;
    settings
}

fn probes(actions: &[Action]) -> Vec<String> {
    let pick = |a: &Action| if let Action::Probe { worker } = a { Some(worker.to_string()) } else { None };
    actions.iter().filter_map(pick).collect()
}

impl Outage {
    /// A fleet that is served by its workers, and whose list has just got out of reach.
    fn new(settings: Settings, workers: usize) -> Self {
        let mut bed = Bed::new(settings, workers);
        let told_at = bed.now + 4 * S;
        bed.event(Event::ListFreshness(ListFreshness::Current { announced_at: told_at }));
        let mut outage = Self { bed, told_at, next: 1 };
        assert!(outage.call().0.is_empty(), "nobody is asked while the list is followed");
        outage.bed.event(Event::ListFreshness(ListFreshness::Interrupted { announced_at: told_at }));
        outage
    }

    /// One call, whose questions and attempts are answered well at once. Gives who was asked and who served it.
    fn call(&mut self) -> (Vec<String>, Option<String>) {
        self.call_where(|_| Code::Ok)
    }

    /// The same, questions being answered so.
    fn call_where(&mut self, says: impl Fn(&str) -> Code) -> (Vec<String>, Option<String>) {
        let id = self.next;
        self.next += 1;
        let mut actions = self.bed.request(id, "f", 400 * MS);
        let (mut asked, mut attempt) = (Vec::new(), 0);
        loop {
            let mut answered = 0;
            while let Some(worker) = probes(&actions).get(answered).cloned() {
                answered += 1;
                self.bed.advance(MS);
                asked.push(worker.clone());
                actions.extend(self.probed(&worker, says(&worker), MS));
            }
            let Some((_, to)) = sends(&actions).first().cloned() else { return (asked, None) };
            // A worker that drains turns calls away.
            if says(&to) == Code::Ok {
                self.bed.outcome(id, attempt, &to, Code::Ok, 0);
                return (asked, Some(to));
            }
            actions = self.bed.outcome(id, attempt, &to, Code::Full, 0);
            attempt += 1;
        }
    }

    fn probed(&mut self, worker: &str, code: Code, latency: Micros) -> Vec<Action> {
        let (worker, report) = (worker.into(), Vec::new());
        self.bed.event(Event::Probed { worker, code, latency, report })
    }

    fn until(&mut self, at: Micros) {
        let by = at - self.bed.now;
        self.bed.advance(by);
    }

    fn expire(&mut self) {
        self.until(self.told_at + GRACE);
    }
}

#[test]
fn the_list_alone_allows_work_until_its_clock_and_the_grace_are_over_and_not_longer() {
    let mut outage = Outage::new(leased(true), 1);
    outage.until(outage.told_at + GRACE - 150 * MS);
    assert_eq!(outage.call(), (vec![], Some("w0".into())));
    // That call showed that it did not drain; a grace after it that is over too.
    outage.until(outage.told_at + GRACE + 500 * MS);
    assert_eq!(outage.call().0, Vec::<String>::new());
    let last = outage.bed.now;
    assert_eq!(outage.bed.controller.new_work_until(&"w0".into()), Some(last + GRACE - 100 * MS));
    outage.until(last + GRACE);
    assert_eq!(outage.call(), (vec!["w0".to_string()], Some("w0".into())));
}

#[test]
fn an_answer_counts_as_of_when_it_was_asked_for() {
    let mut outage = Outage::new(leased(true), 1);
    outage.expire();
    let asked = probes(&outage.bed.request(100, "f", 2 * S));
    assert_eq!(asked, ["w0"]);
    // It lay unread for longer than the lease that it gives.
    outage.bed.advance(300 * MS);
    let after = outage.probed("w0", Code::Ok, 950 * MS);
    assert_eq!((sends(&after), probes(&after)), (vec![], vec!["w0".to_string()]));
    assert_eq!(sends(&outage.probed("w0", Code::Ok, 0)), [(100, "w0".to_string())]);
}

#[test]
fn one_question_serves_all_calls_that_wait_for_it() {
    let mut outage = Outage::new(leased(true), 1);
    outage.expire();
    let asked: usize = (100..120).map(|id| probes(&outage.bed.request(id, "f", 2 * S)).len()).sum();
    assert_eq!(asked, 1);
    let after = outage.probed("w0", Code::Ok, MS);
    assert!(!sends(&after).is_empty(), "{after:?}");
}

#[test]
fn a_worker_that_drains_gets_nothing_and_is_asked_again_at_growing_pauses() {
    let mut outage = Outage::new(leased(true), 3);
    let drained = outage.call().1.expect("served");
    outage.expire();
    let down = |worker: &str| if worker == drained { Code::Error } else { Code::Ok };
    let mut asked = Vec::new();
    let began = outage.bed.now;
    while outage.bed.now < began + 20 * S {
        let (_, served) = outage.call_where(down);
        assert!(served.is_some_and(|by| by != drained), "a worker that drains serves nothing");
        let before = outage.bed.log.len();
        outage.bed.advance(50 * MS);
        let swept: Vec<_> = outage.bed.log[before..].to_vec();
        for (at, action) in swept {
            let Action::Probe { worker } = action else { continue };
            if worker.as_str() == drained {
                asked.push(at);
            }
            outage.probed(worker.as_str(), down(worker.as_str()), 0);
        }
    }
    let gaps: Vec<_> = asked.windows(2).map(|two| two[1] - two[0]).collect();
    assert!((6..=14).contains(&asked.len()), "{gaps:?}");
    assert!(gaps.windows(2).all(|two| two[1] + 100 * MS >= two[0]), "{gaps:?}");
}

#[test]
fn turned_away_in_an_outage_a_worker_is_asked_and_its_refusals_are_no_overload() {
    let mut outage = Outage::new(leased(true), 4);
    let drained = outage.call().1.expect("served");
    // Drains long before the clock is over: one call turned away, one question, nothing more.
    let down = |worker: &str| if worker == drained { Code::Error } else { Code::Ok };
    let mut turned_away = 0;
    for _ in 0..400 {
        let before = outage.bed.log.len();
        let (_, served) = outage.call_where(down);
        assert!(served.is_some(), "refused though three workers of four serve");
        let to_drained = |(_, a): &&(Micros, Action)| matches!(a, Action::Send { worker, .. } if worker.as_str() == drained);
        turned_away += outage.bed.log[before..].iter().filter(to_drained).count();
        outage.bed.advance(5 * MS);
    }
    assert!(turned_away <= 2, "{turned_away} calls to a worker that drains");
}

#[test]
fn a_worker_that_is_merely_full_stays_in_use() {
    let mut outage = Outage::new(leased(true), 1);
    outage.expire();
    let (mut served, mut asked) = (0, 0);
    for id in 1_000..1_200u64 {
        let mut actions = outage.bed.request(id, "f", 300 * MS);
        for worker in probes(&actions) {
            asked += 1;
            actions.extend(outage.probed(&worker, Code::Ok, 0));
        }
        for (sent, to) in sends(&actions) {
            // Every second call finds it full.
            let code = if id % 2 == 0 { Code::Ok } else { Code::Full };
            served += usize::from(code == Code::Ok);
            outage.bed.outcome(sent, 0, &to, code, 0);
        }
        outage.bed.advance(10 * MS);
    }
    assert!(served > 20, "{served} served");
    assert!(asked <= 30, "{asked} questions in two seconds");
}

#[test]
fn with_nobody_left_calls_are_refused_with_a_time_to_come_back_and_the_way_back_is_taken_at_once() {
    let mut outage = Outage::new(leased(true), 3);
    outage.bed.controller = {
        let mut settings = leased(true);
        settings.limits.retry_after = true;
        Controller::new(settings, 1).expect("usable settings")
    };
    let members = (0..3).map(|i| member(&format!("w{i}"), WorkerState::Active, 0)).collect();
    outage.bed.event(Event::Members { kind: MembersKind::Whole, members });
    for _ in 0..100 {
        outage.call();
        outage.bed.advance(10 * MS);
    }
    outage.bed.event(Event::ListFreshness(ListFreshness::Interrupted { announced_at: outage.told_at }));
    outage.expire();
    for _ in 0..6 {
        outage.call_where(|_| Code::Error);
        outage.bed.advance(20 * MS);
    }
    let told = outage.bed.request(500, "f", 300 * MS);
    assert!(matches!(told[..], [Action::Refuse { wait: Some(1..), .. }]), "{told:?}");
    // Each is asked again within a second, and the first good word is enough.
    let before = outage.bed.log.len();
    outage.bed.advance(S);
    let mut asked = probes(&outage.bed.log[before..].iter().map(|(_, a)| a.clone()).collect::<Vec<_>>());
    asked.sort();
    asked.dedup();
    assert_eq!(asked, ["w0", "w1", "w2"]);
    outage.probed("w2", Code::Ok, 0);
    // It comes back cold, and what it may be sent accrues.
    let before = outage.bed.log.len();
    for id in 501..521 {
        outage.bed.request(id, "f", 300 * MS);
        outage.bed.advance(50 * MS);
    }
    let after: Vec<_> = outage.bed.log[before..].iter().map(|(_, a)| a.clone()).collect();
    assert!(sends(&after).iter().any(|(_, to)| to == "w2"), "{after:?}");
}

#[test]
fn calls_that_wait_for_workers_that_do_not_answer_are_refused_by_their_aim() {
    let mut outage = Outage::new(leased(true), 2);
    outage.expire();
    let began = outage.bed.now;
    outage.bed.request(700, "f", 2 * S);
    outage.bed.advance(2 * S);
    let refused = |(_, a): &&(Micros, Action)| matches!(a, Action::Refuse { id: RequestId(700), .. });
    let (at, _) = *outage.bed.log.iter().find(refused).expect("refused");
    assert!(at <= began + 500 * MS, "after {} us", at - began);
}

#[test]
fn without_probes_the_rule_holds_and_use_alone_keeps_workers_in_use() {
    let mut outage = Outage::new(leased(false), 2);
    // Calls go on: whoever serves them stays in use long past the list's clock.
    while outage.bed.now < outage.told_at + 5 * S {
        assert!(outage.call().1.is_some(), "one in use is not given up");
        outage.bed.advance(100 * MS);
    }
    // A pause longer than the grace: nothing shows any more that they do not drain.
    outage.bed.advance(2 * S);
    let before = outage.bed.log.len();
    assert_eq!(outage.call(), (vec![], None));
    assert!(outage.bed.log[before..].iter().any(|(_, a)| matches!(a, Action::Refuse { .. })));
    let told_at = outage.bed.now + 4 * S;
    outage.bed.event(Event::ListFreshness(ListFreshness::Current { announced_at: told_at }));
    assert!(outage.call().1.is_some(), "the list is followed again");
}

#[test]
fn a_list_that_was_never_confirmed_allows_nothing_by_itself() {
    let mut bed = Bed::new(leased(true), 1);
    let since = bed.now;
    bed.event(Event::ListFreshness(ListFreshness::Unconfirmed { since }));
    let first = bed.request(1, "f", 2 * S);
    assert_eq!((probes(&first), sends(&first)), (vec!["w0".to_string()], vec![]));
    let told_at = bed.now + 4 * S;
    bed.event(Event::ListFreshness(ListFreshness::Current { announced_at: told_at }));
    assert_eq!(sends(&bed.request(2, "f", 2 * S)).len(), 1, "followed");
}

#[test]
fn a_worker_whose_connections_broke_in_an_outage_counts_as_cold_and_empty() {
    for before_the_outage in [false, true] {
        let mut bed = Bed::new(leased(true), 4);
        let told_at = bed.now + 60 * S;
        bed.event(Event::ListFreshness(ListFreshness::Current { announced_at: told_at }));
        let before = bed.served_by("w0", 1..2_000);
        let trust = Event::ListFreshness(ListFreshness::Interrupted { announced_at: told_at });
        let lost = Event::Disconnected { worker: "w0".into() };
        let events = if before_the_outage { [lost, trust] } else { [trust, lost] };
        events.into_iter().for_each(|event| drop(bed.event(event)));
        let names: Vec<_> = (0..64).map(|n| format!("g{n}")).collect();
        let mut after = 0;
        for id in 10_000..10_400u64 {
            for (sent, to) in sends(&bed.request(id, &names[id as usize % 64], 300 * MS)) {
                after += usize::from(to == "w0");
                bed.outcome(sent, 0, &to, Code::Ok, 5 * MS);
            }
            bed.advance(5 * MS);
        }
        // Its part of 400 calls in 2 s would be 100.
        assert!(after < 70, "{after} of 400 to a worker that may have just started, {before} before");
    }
}

#[test]
fn without_a_clock_for_the_list_or_a_rule_on_drains_nothing_changes() {
    for (grace, told) in [(None, true), (Some(GRACE), false)] {
        let mut settings = leased(true);
        settings.rules.drain_grace = grace;
        let mut bed = Bed::new(settings, 2);
        if told {
            let told_at = bed.now;
            bed.event(Event::ListFreshness(ListFreshness::Interrupted { announced_at: told_at }));
        }
        bed.advance(60 * S);
        let first = bed.request(1, "f", 2 * S);
        assert_eq!((probes(&first).len(), sends(&first).len()), (0, 1));
        assert_eq!(bed.controller.new_work_until(&"w0".into()), None);
    }
}

#[test]
fn no_order_to_load_goes_out_before_its_worker_was_asked() {
    let mut settings = leased(true);
    settings.copies.orders = true;
    let mut bed = Bed::new(settings, 2);
    let told_at = bed.now + 4 * S;
    bed.event(Event::ListFreshness(ListFreshness::Interrupted { announced_at: told_at }));
    bed.advance(4 * S + GRACE);
    // Nobody holds the function: it is to be ordered.
    let questions = bed.request(1, "new", 2 * S);
    let mut actions = bed.answer_asks(&questions, "nobody", 0);
    actions.extend(bed.advance(20 * MS));
    assert_eq!((loads(&actions), sends(&actions)), (vec![], vec![]));
    let asked = probes(&actions);
    assert_eq!(asked.len(), 1, "{actions:?}");
    let (worker, report) = (asked[0].as_str().into(), Vec::new());
    let after = bed.event(Event::Probed { worker, code: Code::Ok, latency: 0, report });
    assert_eq!(loads(&after), asked);
}
