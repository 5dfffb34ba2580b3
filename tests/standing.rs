//! New work while the list of workers is out of reach: leases, probes, denials and recovery.
mod common;
use basaltward::*;
use common::*;

const GRACE: Micros = S;

struct Outage {
    bed: TestBed,
    /// Time at which changes missing from the list are deemed announced.
    announced_at: Micros,
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
    /// A fleet that has served a call and whose list has just become unreachable.
    fn new(settings: Settings, workers: usize) -> Self {
        let mut bed = TestBed::new(settings, workers);
        let announced_at = bed.now + 4 * S;
        bed.event(Event::ListFreshness(ListFreshness::Current { announced_at }));
        let mut outage = Self { bed, announced_at, next: 1 };
        assert!(outage.call().0.is_empty(), "no probes while the list is followed");
        outage.bed.event(Event::ListFreshness(ListFreshness::Interrupted { announced_at }));
        outage
    }

    /// Makes one call; probes and attempts succeed at once. Returns the probed workers and the one that served the
    /// call.
    fn call(&mut self) -> (Vec<String>, Option<String>) {
        self.call_where(|_| Code::Ok)
    }

    /// Like `call`, with the code that each worker answers probes with; a worker that does not answer `Ok` rejects
    /// calls.
    fn call_where(&mut self, answer: impl Fn(&str) -> Code) -> (Vec<String>, Option<String>) {
        let id = self.next;
        self.next += 1;
        let mut actions = self.bed.request(id, "f", 400 * MS);
        let (mut probed, mut attempt) = (Vec::new(), 0);
        loop {
            let mut answered = 0;
            while let Some(worker) = probes(&actions).get(answered).cloned() {
                answered += 1;
                self.bed.advance(MS);
                probed.push(worker.clone());
                actions.extend(self.probed(&worker, answer(&worker), MS));
            }
            let Some((_, to)) = sends(&actions).first().cloned() else { return (probed, None) };
            // A draining worker rejects calls.
            if answer(&to) == Code::Ok {
                self.bed.outcome(id, attempt, &to, Code::Ok, 0);
                return (probed, Some(to));
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
        self.until(self.announced_at + GRACE);
    }
}

#[test]
fn the_list_alone_permits_work_until_the_grace_is_over() {
    let mut outage = Outage::new(leased(true), 1);
    outage.until(outage.announced_at + GRACE - 150 * MS);
    assert_eq!(outage.call(), (vec![], Some("w0".into())));
    // That call renewed the lease, which ends a grace after it.
    outage.until(outage.announced_at + GRACE + 500 * MS);
    assert_eq!(outage.call().0, Vec::<String>::new());
    let last = outage.bed.now;
    assert_eq!(outage.bed.controller.new_work_until(&"w0".into()), Some(last + GRACE - 100 * MS));
    outage.until(last + GRACE);
    assert_eq!(outage.call(), (vec!["w0".to_string()], Some("w0".into())));
}

#[test]
fn a_lease_starts_when_the_probe_was_sent() {
    let mut outage = Outage::new(leased(true), 1);
    outage.expire();
    let probed = probes(&outage.bed.request(100, "f", 2 * S));
    assert_eq!(probed, ["w0"]);
    // The answer was delayed for longer than the lease that it grants.
    outage.bed.advance(300 * MS);
    let after = outage.probed("w0", Code::Ok, 950 * MS);
    assert_eq!((sends(&after), probes(&after)), (vec![], vec!["w0".to_string()]));
    assert_eq!(sends(&outage.probed("w0", Code::Ok, 0)), [(100, "w0".to_string())]);
}

#[test]
fn one_probe_serves_all_waiting_calls() {
    let mut outage = Outage::new(leased(true), 1);
    outage.expire();
    let probed: usize = (100..120).map(|id| probes(&outage.bed.request(id, "f", 2 * S)).len()).sum();
    assert_eq!(probed, 1);
    let after = outage.probed("w0", Code::Ok, MS);
    assert!(!sends(&after).is_empty(), "{after:?}");
}

#[test]
fn a_draining_worker_gets_no_work_and_is_probed_with_backoff() {
    let mut outage = Outage::new(leased(true), 3);
    let drained = outage.call().1.expect("served");
    outage.expire();
    let answer = |worker: &str| if worker == drained { Code::Error } else { Code::Ok };
    let mut probed = Vec::new();
    let began = outage.bed.now;
    while outage.bed.now < began + 20 * S {
        let (_, served) = outage.call_where(answer);
        assert!(served.is_some_and(|by| by != drained), "a draining worker must not serve");
        let before = outage.bed.log.len();
        outage.bed.advance(50 * MS);
        let swept: Vec<_> = outage.bed.log[before..].to_vec();
        for (at, action) in swept {
            let Action::Probe { worker } = action else { continue };
            if worker.as_str() == drained {
                probed.push(at);
            }
            outage.probed(worker.as_str(), answer(worker.as_str()), 0);
        }
    }
    let gaps: Vec<_> = probed.windows(2).map(|two| two[1] - two[0]).collect();
    assert!((6..=14).contains(&probed.len()), "{gaps:?}");
    assert!(gaps.windows(2).all(|two| two[1] + 100 * MS >= two[0]), "{gaps:?}");
}

#[test]
fn a_worker_that_rejects_in_an_outage_is_probed_and_is_no_overload() {
    let mut outage = Outage::new(leased(true), 4);
    let drained = outage.call().1.expect("served");
    // It drains long before the list's grace ends: at most two rejected calls, then only probes.
    let answer = |worker: &str| if worker == drained { Code::Error } else { Code::Ok };
    let mut rejected = 0;
    for _ in 0..400 {
        let before = outage.bed.log.len();
        let (_, served) = outage.call_where(answer);
        assert!(served.is_some(), "refused although three of four workers serve");
        let to_drained = |(_, a): &&(Micros, Action)| matches!(a, Action::Send { worker, .. } if worker.as_str() == drained);
        rejected += outage.bed.log[before..].iter().filter(to_drained).count();
        outage.bed.advance(5 * MS);
    }
    assert!(rejected <= 2, "{rejected} calls to a draining worker");
}

#[test]
fn a_full_worker_stays_in_use() {
    let mut outage = Outage::new(leased(true), 1);
    outage.expire();
    let (mut served, mut probed) = (0, 0);
    for id in 1_000..1_200u64 {
        let mut actions = outage.bed.request(id, "f", 300 * MS);
        for worker in probes(&actions) {
            probed += 1;
            actions.extend(outage.probed(&worker, Code::Ok, 0));
        }
        for (sent, to) in sends(&actions) {
            // The worker is full for every second call.
            let code = if id % 2 == 0 { Code::Ok } else { Code::Full };
            served += usize::from(code == Code::Ok);
            outage.bed.outcome(sent, 0, &to, code, 0);
        }
        outage.bed.advance(10 * MS);
    }
    assert!(served > 20, "{served} served");
    assert!(probed <= 30, "{probed} probes in two seconds");
}

#[test]
fn with_all_workers_closed_calls_are_refused_with_a_retry_time_and_recovery_is_immediate() {
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
    outage.bed.event(Event::ListFreshness(ListFreshness::Interrupted { announced_at: outage.announced_at }));
    outage.expire();
    for _ in 0..6 {
        outage.call_where(|_| Code::Error);
        outage.bed.advance(20 * MS);
    }
    let refused = outage.bed.request(500, "f", 300 * MS);
    assert!(matches!(refused[..], [Action::Refuse { wait: Some(1..), .. }]), "{refused:?}");
    // Each worker is probed again within a second, and the first success is sufficient.
    let before = outage.bed.log.len();
    outage.bed.advance(S);
    let mut probed = probes(&outage.bed.log[before..].iter().map(|(_, a)| a.clone()).collect::<Vec<_>>());
    probed.sort();
    probed.dedup();
    assert_eq!(probed, ["w0", "w1", "w2"]);
    outage.probed("w2", Code::Ok, 0);
    // It returns cold, so its send credit must accrue first.
    let before = outage.bed.log.len();
    for id in 501..521 {
        outage.bed.request(id, "f", 300 * MS);
        outage.bed.advance(50 * MS);
    }
    let after: Vec<_> = outage.bed.log[before..].iter().map(|(_, a)| a.clone()).collect();
    assert!(sends(&after).iter().any(|(_, to)| to == "w2"), "{after:?}");
}

#[test]
fn calls_that_wait_for_unresponsive_workers_are_refused_by_their_aim() {
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
fn without_probes_served_calls_alone_renew_leases() {
    let mut outage = Outage::new(leased(false), 2);
    // While calls continue, the workers that serve them stay in use long after the list's grace.
    while outage.bed.now < outage.announced_at + 5 * S {
        assert!(outage.call().1.is_some(), "a worker in use must stay in use");
        outage.bed.advance(100 * MS);
    }
    // After a pause longer than the grace, no lease is left.
    outage.bed.advance(2 * S);
    let before = outage.bed.log.len();
    assert_eq!(outage.call(), (vec![], None));
    assert!(outage.bed.log[before..].iter().any(|(_, a)| matches!(a, Action::Refuse { .. })));
    let announced_at = outage.bed.now + 4 * S;
    outage.bed.event(Event::ListFreshness(ListFreshness::Current { announced_at }));
    assert!(outage.call().1.is_some(), "the list is followed again");
}

#[test]
fn an_unconfirmed_list_permits_nothing_by_itself() {
    let mut bed = TestBed::new(leased(true), 1);
    let since = bed.now;
    bed.event(Event::ListFreshness(ListFreshness::Unconfirmed { since }));
    let first = bed.request(1, "f", 2 * S);
    assert_eq!((probes(&first), sends(&first)), (vec!["w0".to_string()], vec![]));
    let announced_at = bed.now + 4 * S;
    bed.event(Event::ListFreshness(ListFreshness::Current { announced_at }));
    assert_eq!(sends(&bed.request(2, "f", 2 * S)).len(), 1, "followed");
}

#[test]
fn a_worker_disconnected_in_an_outage_counts_as_cold_and_empty() {
    for before_the_outage in [false, true] {
        let mut bed = TestBed::new(leased(true), 4);
        let announced_at = bed.now + 60 * S;
        bed.event(Event::ListFreshness(ListFreshness::Current { announced_at }));
        let before = bed.served_by("w0", 1..2_000);
        let interrupted = Event::ListFreshness(ListFreshness::Interrupted { announced_at });
        let lost = Event::Disconnected { worker: "w0".into() };
        let events = if before_the_outage { [lost, interrupted] } else { [interrupted, lost] };
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
        // An equal share of 400 calls in 2 s would be 100.
        assert!(after < 70, "{after} of 400 calls to a worker that may have restarted, {before} before");
    }
}

#[test]
fn without_list_freshness_or_a_drain_grace_nothing_is_restricted() {
    for (grace, reported) in [(None, true), (Some(GRACE), false)] {
        let mut settings = leased(true);
        settings.rules.drain_grace = grace;
        let mut bed = TestBed::new(settings, 2);
        if reported {
            let announced_at = bed.now;
            bed.event(Event::ListFreshness(ListFreshness::Interrupted { announced_at }));
        }
        bed.advance(60 * S);
        let first = bed.request(1, "f", 2 * S);
        assert_eq!((probes(&first).len(), sends(&first).len()), (0, 1));
        assert_eq!(bed.controller.new_work_until(&"w0".into()), None);
    }
}

#[test]
fn no_load_order_is_sent_before_its_worker_was_probed() {
    let mut settings = leased(true);
    settings.copies.orders = true;
    let mut bed = TestBed::new(settings, 2);
    let announced_at = bed.now + 4 * S;
    bed.event(Event::ListFreshness(ListFreshness::Interrupted { announced_at }));
    bed.advance(4 * S + GRACE);
    // No worker holds the function, so a load must be ordered.
    let queries = bed.request(1, "new", 2 * S);
    let mut actions = bed.answer_queries(&queries, "nobody", 0);
    actions.extend(bed.advance(20 * MS));
    assert_eq!((loads(&actions), sends(&actions)), (vec![], vec![]));
    let probed = probes(&actions);
    assert_eq!(probed.len(), 1, "{actions:?}");
    let (worker, report) = (probed[0].as_str().into(), Vec::new());
    let after = bed.event(Event::Probed { worker, code: Code::Ok, latency: 0, report });
    assert_eq!(loads(&after), probed);
}
