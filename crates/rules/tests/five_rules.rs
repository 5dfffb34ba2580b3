//! For each rule, records that keep it and similar records that break it.
use basaltward_rules::*;

const MS: Micros = 1_000;

fn settings() -> RuleSettings {
    let class = |repeat| ClassRule { repeat, aim: 500 * MS, value: 1.0, late_share: 0.3 };
    let keyed = RepeatRule::Keyed { window: 100 * MS, all: false };
    let classes = [("safe", RepeatRule::Safe), ("keyed", keyed), ("unsafe", RepeatRule::Unsafe)];
    RuleSettings {
        classes: classes.into_iter().map(|(n, r)| (n.to_owned(), class(r))).collect(),
        groups: [("w1".to_owned(), 1), ("w2".to_owned(), 1), ("w3".to_owned(), 2)].into(),
        drain_grace: 50 * MS,
        load_window: 1_000 * MS,
        load_free: 1.0,
        load_share: 0.5,
        initial_capacity_share: 0.2,
        warm_up_time: 1_000 * MS,
        overload_multiple: 2.0,
        overload_window: 100 * MS,
    }
}

fn record(ms: Micros, by: &str, observation: Observation) -> Record {
    Record { time: ms * MS, observer: by.into(), observation }
}

fn up() -> Record {
    record(0, "g/0", Observation::Up { address: "a:1".into() })
}

fn request_sent(ms: Micros, request_id: u64, class: &str) -> Record {
    let (event, class, to) = (format!("e{request_id}"), class.into(), "a:1".into());
    record(
        ms,
        "clients",
        Observation::RequestSent {
            request_id,
            event,
            class,
            tenant: "t".into(),
            to,
            deadline: (ms + 100) * MS,
        },
    )
}

fn answered(ms: Micros, request_id: u64, answer: FinalAnswer) -> Record {
    record(ms, "clients", Observation::Answered { request_id, answer, status: 0 })
}

fn sent(ms: Micros, event: u64, number: u64, worker: &str) -> Record {
    let (event, attempt) = (format!("e{event}"), format!("g/0:{event}.{number}"));
    record(ms, "g/0", Observation::Sent { event, attempt, worker: worker.into() })
}

fn ended(ms: Micros, event: u64, number: u64, code: &str) -> Record {
    record(ms, "g/0", Observation::Ended { attempt: format!("g/0:{event}.{number}"), code: code.into() })
}

fn ran(ms: Micros, worker: &str, event: u64, number: u64) -> Record {
    let (event, attempt) = (format!("e{event}"), format!("g/0:{event}.{number}"));
    record(ms, worker, Observation::Ran { event, attempt })
}

fn accepted(ms: Micros, event: u64) -> Record {
    record(ms, "g/0", Observation::Accepted { event: format!("e{event}") })
}

fn worker_state(ms: Micros, state: &str) -> Record {
    record(ms, "g/0", Observation::WorkerState { worker: "w1".into(), state: state.into() })
}

fn ordered(ms: Micros, count: u32) -> Record {
    record(ms, "g/0", Observation::Ordered { worker: "w1".into(), function: "f".into(), count })
}

fn worker_started(ms: Micros) -> Record {
    record(ms, "w1", Observation::WorkerStarted { capacity: 1.0, warm: false })
}

fn arrived(ms: Micros, work: Micros) -> Record {
    record(ms, "w1", Observation::Arrived { event: "e".into(), attempt: "x".into(), work: work * MS })
}

fn down(ms: Micros, killed: bool) -> Record {
    record(ms, "g/0", Observation::Down { killed })
}

/// The rules broken by these records, each once.
fn broken(records: Vec<Record>) -> Vec<u8> {
    let mut rules: Vec<_> = check(&records, &settings()).into_iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn rule_1_one_answer_in_time() {
    let (lost, left) = (
        |ms| record(ms, "clients", Observation::ConnectionLost { request_id: 1 }),
        |ms| record(ms, "clients", Observation::ClientLeft { request_id: 1 }),
    );
    let stopping = |ms| record(ms, "g/0", Observation::Stopping);
    let allowed = [
        vec![up(), request_sent(1, 1, "safe"), answered(101, 1, FinalAnswer::Served)],
        vec![up(), request_sent(1, 1, "safe"), left(50)],
        vec![up(), request_sent(1, 1, "safe"), accepted(2, 1), lost(5), down(6, true)],
        vec![up(), request_sent(1, 1, "safe"), stopping(2), lost(5)],
    ];
    let breaking = [
        vec![up(), request_sent(1, 1, "safe"), answered(102, 1, FinalAnswer::Served)],
        vec![
            up(),
            request_sent(1, 1, "safe"),
            sent(2, 1, 0, "w1"),
            answered(50, 1, FinalAnswer::Failed),
            answered(60, 1, FinalAnswer::Served),
        ],
        vec![up(), request_sent(1, 1, "safe"), left(50), answered(60, 1, FinalAnswer::Served)],
        vec![up(), request_sent(1, 1, "safe")],
        vec![up(), request_sent(1, 1, "safe"), accepted(2, 1), lost(5)],
        vec![up(), request_sent(1, 1, "safe"), accepted(2, 1), stopping(3), lost(5)],
        vec![up(), answered(5, 9, FinalAnswer::Served)],
    ];
    for (index, records) in allowed.into_iter().enumerate() {
        assert_eq!(broken(records), [0u8; 0], "allowed case {index}");
    }
    for (index, records) in breaking.into_iter().enumerate() {
        assert_eq!(broken(records), [1], "breaking case {index}");
    }
}

#[test]
fn late_answers_are_excused_if_written_in_time_or_delayed_by_a_stall() {
    let answer_sent = |ms| record(ms, "g/0", Observation::AnswerSent { event: "e1".into(), status: 0 });
    let answer_sent_at =
        |at| vec![up(), request_sent(1, 1, "safe"), answer_sent(at), answered(140, 1, FinalAnswer::Served)];
    let judged = |records: Vec<Record>| (late_answers(&records), broken(records));
    assert_eq!(
        judged(answer_sent_at(100)),
        (LateAnswers { delayed_at_client: 1, gateway_stalled: 0 }, vec![])
    );
    assert_eq!(judged(answer_sent_at(102)), (LateAnswers::default(), vec![1]));
    // A stall of the gateway excuses the answer only if it is longer than the delay and shortly before the answer.
    let stalled = |ms, us| record(ms, "g/0", Observation::Stalled { us });
    let with = |stall| [answer_sent_at(110), vec![stall]].concat();
    let by_time = |mut records: Vec<Record>| {
        records.sort_by_key(|r| r.time);
        judged(records)
    };
    assert_eq!(
        by_time(with(stalled(109, 9 * MS))),
        (LateAnswers { delayed_at_client: 0, gateway_stalled: 1 }, vec![])
    );
    assert_eq!(by_time(with(stalled(109, 8 * MS))), (LateAnswers::default(), vec![1]));
    assert_eq!(by_time(with(stalled(90, 50 * MS))), (LateAnswers::default(), vec![1]));
}

#[test]
fn rule_2_a_failure_requires_that_an_attempt_was_sent() {
    let failed = || answered(90, 1, FinalAnswer::Failed);
    let again = |ms| {
        let Record { time, observer, observation } = request_sent(ms, 2, "safe");
        let Observation::RequestSent { request_id, class, tenant, to, deadline, .. } = observation else {
            unreachable!()
        };
        Record {
            time,
            observer,
            observation: Observation::RequestSent {
                request_id,
                event: "e1".into(),
                class,
                tenant,
                to,
                deadline,
            },
        }
    };
    assert_eq!(broken(vec![up(), request_sent(1, 1, "safe"), failed()]), [2]);
    assert_eq!(broken(vec![up(), request_sent(1, 1, "safe"), sent(2, 1, 0, "w1"), failed()]), [0u8; 0]);
    // Another client still waits for the same call, which may still run.
    let joined =
        vec![up(), request_sent(1, 1, "safe"), again(50), failed(), answered(95, 2, FinalAnswer::Served)];
    assert_eq!(broken(joined), [0u8; 0]);
}

#[test]
fn rule_2_a_scheduler_that_cannot_reach_the_owner_may_answer_as_failed() {
    let owner_unreachable = record(4, "g/0", Observation::OwnerUnreachable { event: "e1".into() });
    let failed = |more: Vec<Record>| {
        let mut records = vec![up(), request_sent(1, 1, "unsafe")];
        records.extend(more);
        records.push(answered(5, 1, FinalAnswer::Failed));
        broken(records)
    };
    assert_eq!((failed(vec![owner_unreachable]), failed(Vec::new())), (Vec::new(), vec![2]));
}

#[test]
fn rule_2_covers_all_event_loops_of_a_gateway_together() {
    let by_other = |mut r: Record| {
        r.observer = "g/1".into();
        r
    };
    let both = vec![up(), request_sent(1, 1, "unsafe"), sent(2, 1, 0, "w1"), by_other(sent(3, 1, 1, "w2"))];
    let both = [both, vec![answered(90, 1, FinalAnswer::Failed)]].concat();
    assert_eq!(broken(both), [2]);
}

#[test]
fn rule_2_no_effect_twice() {
    let open = |class| vec![up(), request_sent(1, 1, class), sent(2, 1, 0, "w1")];
    let end = || answered(90, 1, FinalAnswer::Failed);
    let with = |class, more: Vec<Record>| [open(class), more, vec![end()]].concat();
    let allowed = [
        with("safe", vec![ran(3, "w1", 1, 0), sent(4, 1, 1, "w2"), ran(5, "w2", 1, 1)]),
        with("unsafe", vec![ended(3, 1, 0, "Miss"), sent(4, 1, 1, "w2"), ran(5, "w2", 1, 1)]),
        with("keyed", vec![ran(3, "w1", 1, 0), ended(4, 1, 0, "Reset"), sent(5, 1, 1, "w2")]),
        // Workers of another group have their own keys, and past the window the keys have expired.
        with("keyed", vec![ran(3, "w1", 1, 0), ran(6, "w3", 1, 0)]),
        with("keyed", vec![ran(3, "w1", 1, 0), ran(103, "w2", 1, 0)]),
    ];
    let refused = |class| {
        vec![
            up(),
            request_sent(1, 1, class),
            sent(2, 1, 0, "w1"),
            ran(3, "w1", 1, 0),
            answered(9, 1, FinalAnswer::Refused),
        ]
    };
    let breaking = [
        with("unsafe", vec![ended(3, 1, 0, "Reset"), sent(4, 1, 1, "w2")]),
        with("unsafe", vec![sent(4, 1, 1, "w2")]),
        with("unsafe", vec![ran(3, "w1", 1, 0), ran(4, "w2", 1, 0)]),
        with("unsafe", vec![ran(3, "w1", 1, 0), ended(4, 1, 0, "Full")]),
        with("keyed", vec![ended(4, 1, 0, "Timeout"), sent(5, 1, 1, "w3")]),
        with("keyed", vec![ended(4, 1, 0, "Timeout"), sent(103, 1, 1, "w2")]),
        with("keyed", vec![ran(3, "w1", 1, 0), sent(5, 1, 1, "w2"), ran(6, "w2", 1, 1)]),
        refused("unsafe"),
        refused("keyed"),
    ];
    assert_eq!(broken(refused("safe")), [0u8; 0]);
    for (index, mut records) in allowed.into_iter().enumerate() {
        records.sort_by_key(|r| r.time);
        assert_eq!(broken(records), [0u8; 0], "allowed case {index}");
    }
    for (index, mut records) in breaking.into_iter().enumerate() {
        records.sort_by_key(|r| r.time);
        assert!(broken(records).contains(&2), "breaking case {index}");
    }
}

#[test]
fn rule_3_nothing_is_sent_to_a_draining_worker_after_the_grace() {
    let within = sent(40, 1, 0, "w1");
    assert_eq!(
        broken(vec![
            worker_state(0, "active"),
            worker_state(1, "leaving"),
            within,
            worker_state(60, "active"),
            ordered(90, 1)
        ]),
        [0u8; 0]
    );
    assert_eq!(broken(vec![worker_state(1, "leaving"), sent(60, 1, 0, "w2"), ordered(70, 0)]), [0u8; 0]);
    assert_eq!(broken(vec![worker_state(1, "leaving"), sent(60, 1, 0, "w1")]), [3]);
    assert_eq!(broken(vec![worker_state(1, "leaving"), worker_state(40, "gone"), ordered(60, 1)]), [3]);
}

#[test]
fn rule_4_limits_the_work_sent_to_cold_workers() {
    let burst = |ms: Micros, calls: u64, work| (0..calls).map(move |_| arrived(ms, work));
    let with =
        |calls, work| std::iter::once(worker_started(0)).chain(burst(10, calls, work)).collect::<Vec<_>>();
    // A worker that has just started can do about 20 ms of work in the window: twice that and one more call is
    // allowed.
    assert_eq!(broken(with(4, 10)), [0u8; 0]);
    assert_eq!(broken(with(8, 10)), [4]);
    let warm = std::iter::once(worker_started(0)).chain(burst(1_200, 50, 10)).collect();
    assert_eq!(broken(warm), [0u8; 0]);
    assert_eq!(broken(vec![record(1, "w1", Observation::WorkerCollapsed)]), [4]);
}

#[test]
fn rule_5_limits_load_orders() {
    assert_eq!(broken(vec![ordered(1, 1), accepted(2, 1), accepted(3, 2), ordered(4, 1)]), [0u8; 0]);
    assert_eq!(broken(vec![ordered(1, 1), ordered(2, 0), ordered(1_100, 1)]), [0u8; 0]);
    assert_eq!(broken(vec![ordered(1, 1), accepted(2, 1), ordered(4, 1)]), [5]);
}

#[test]
fn service_counts_retries_together_with_the_first_request() {
    let late = vec![
        up(),
        request_sent(0, 1, "safe"),
        answered(10, 1, FinalAnswer::Served),
        request_sent(1, 2, "safe"),
        answered(50, 2, FinalAnswer::Refused),
        record(
            600,
            "clients",
            Observation::RequestSent {
                request_id: 3,
                event: "e2".into(),
                class: "safe".into(),
                tenant: "t".into(),
                to: "a:1".into(),
                deadline: 700 * MS,
            },
        ),
        answered(650, 3, FinalAnswer::Served),
    ];
    let score = service(&late, &settings());
    assert!((score.whole_run - 1.3 / 2.0).abs() < 1e-9 && (score.score - 1.3 / 2.0).abs() < 1e-9);
}

#[test]
fn records_are_read_back_from_a_file() {
    let path = std::env::temp_dir().join(format!("basaltward-records-{}.jsonl", std::process::id()));
    let (recorder, writer) = Recorder::file(&path).expect("a file");
    recorder.put(5, "g/0", Observation::Down { killed: true });
    recorder.put(3, "w1", Observation::WorkerStarted { capacity: 1.5, warm: false });
    drop(recorder);
    writer.join().expect("no panic").expect("written");
    assert_eq!(
        read_records(&path).expect("readable"),
        [worker_started_at(3), Record { time: 5, ..down(0, true) }]
    );
    std::fs::remove_file(path).expect("removed");
}

fn worker_started_at(time: Micros) -> Record {
    Record {
        time,
        observer: "w1".into(),
        observation: Observation::WorkerStarted { capacity: 1.5, warm: false },
    }
}
