//! What is rejected, and with which error, at each limit; what is dropped, and when.
use basaltward_membership::{MemberId, Micros, SiteMap};
use basaltward_pending::{
    Accepted, Input, JournalFault, Key, Outcome, Output, PendingEvents, PendingSettings, RepeatSafety,
    ReplicationError, Step, WireError,
};
use basaltward_permits::Subject;

const KEYED: RepeatSafety = RepeatSafety::Keyed { window: 7_000_000 };

/// Two gateways at two sites, connected directly; the first accepts events.
struct Two {
    both: [PendingEvents; 2],
    now: Micros,
}

impl Two {
    fn new(change: impl Fn(&mut PendingSettings)) -> Self {
        let start = |own: MemberId| {
            let site_map = SiteMap::new(vec![0, 1], own).expect("in the list");
            let mut settings = PendingSettings::new(site_map, u64::from(own) + 7, vec![1, 2, 0], 1);
            change(&mut settings);
            PendingEvents::new(settings, 0)
        };
        let mut two = Self { both: [start(0), start(1)], now: 4_000_000 };
        two.handle(Input::LivePeers(vec![true; 2]));
        two.handle(Input::LinkUp { of: 1, life: 8 });
        for subject in [Subject::Site(0), Subject::Gateway(0)] {
            two.handle(Input::ReclaimReply { subject, permit: 0 });
        }
        (0..3).for_each(|_| _ = two.settle());
        assert!(two.both[0].is_ready());
        two
    }

    fn wall(&self) -> u64 {
        self.now / 1_000
    }

    fn handle(&mut self, input: Input) -> Vec<Output> {
        let (wall, mut out) = (self.wall(), Vec::new());
        self.both[0].handle(self.now, wall, input, &mut out);
        out
    }

    fn step(&mut self, step: Step) -> Vec<Output> {
        let mut out = self.handle(Input::Step(step));
        out.extend(self.settle());
        out
    }

    /// Wakes both and delivers frames until none is left; returns all other outputs.
    fn settle(&mut self) -> Vec<Output> {
        let (wall, mut outputs, mut queue) = (self.wall(), Vec::new(), Vec::new());
        for from in 0..2 {
            let mut out = Vec::new();
            self.both[from].wake(self.now, wall, &mut out);
            queue.extend(out.into_iter().map(|output| (from as MemberId, output)));
        }
        while !queue.is_empty() {
            for (from, output) in std::mem::take(&mut queue) {
                let Output::Send { to, bytes } = output else {
                    outputs.push(output);
                    continue;
                };
                let mut out = Vec::new();
                self.both[usize::from(to)].handle(self.now, wall, Input::Frame { from, bytes }, &mut out);
                queue.extend(out.into_iter().map(|output| (to, output)));
            }
        }
        outputs
    }

    fn accept(&mut self, key: u128, class: u16, repeat_safety: RepeatSafety, bytes: usize) -> Vec<Output> {
        let deadline = self.wall() + 5_000;
        let (key, event) = (Key(key), vec![1; bytes]);
        let accepted = Accepted {
            key,
            class,
            tenant: 0,
            function: "f".into(),
            repeat_safety,
            finish_without_client: false,
            deadline,
            event,
        };
        self.step(Step::Accepted(accepted))
    }
}

fn not_replicated(key: u128, why: ReplicationError) -> Vec<Output> {
    vec![Output::NotReplicated { key: Key(key), why }]
}

#[test]
fn events_that_cannot_be_replicated_are_rejected_with_the_reason() {
    let mut two = Two::new(|settings| settings.entry_bytes = 100);
    assert_eq!(two.accept(1, 2, KEYED, 10), not_replicated(1, ReplicationError::ClassNotReplicated(2)));
    assert_eq!(two.accept(1, 9, KEYED, 10), not_replicated(1, ReplicationError::ClassNotReplicated(9)));
    assert_eq!(
        two.accept(1, 1, KEYED, 10),
        not_replicated(1, ReplicationError::TooFewHolders { required: 2, live: 1 })
    );
    assert_eq!(
        two.accept(1, 0, KEYED, 100),
        not_replicated(1, ReplicationError::TooLong { bytes: 101, most: 100 })
    );
    assert_eq!(two.both[1].replica_size().1, 0);
    assert_eq!(two.accept(1, 0, KEYED, 99), [Output::Replicated { key: Key(1) }]);
    assert_eq!(two.accept(1, 0, KEYED, 10), not_replicated(1, ReplicationError::AlreadyPending(Key(1))));
    let sending = Step::Sending { key: Key(2), attempt: 3, worker: "w".into(), at: 0 };
    let why = ReplicationError::NotPending(Key(2));
    assert_eq!(two.step(sending), [Output::SendDenied { key: Key(2), attempt: 3, why }]);
    let mut starting =
        PendingEvents::new(PendingSettings::new(SiteMap::new(vec![0, 1], 0).expect("one"), 1, vec![1], 1), 0);
    let (accepted, mut out) = (Accepted { event: Vec::new(), ..sample(1) }, Vec::new());
    starting.handle(0, 0, Input::Step(Step::Accepted(accepted)), &mut out);
    assert_eq!(out, not_replicated(1, ReplicationError::NotReady));
}

fn sample(key: u128) -> Accepted {
    let (function, repeat_safety) = ("f".into(), RepeatSafety::Unsafe);
    Accepted {
        key: Key(key),
        class: 0,
        tenant: 0,
        function,
        repeat_safety,
        finish_without_client: true,
        deadline: 90_000,
        event: vec![],
    }
}

#[test]
fn a_full_journal_rejects_new_events_but_accepts_steps_of_pending_ones() {
    let mut two = Two::new(|settings| settings.journal_bytes = 40_000);
    let mut accepted_keys = Vec::new();
    let full = (1..1_000).find_map(|key| match &two.accept(key, 0, RepeatSafety::Safe, 500)[..] {
        [Output::Replicated { .. }] => {
            accepted_keys.push(key);
            None
        }
        other => Some(other.to_vec()),
    });
    assert!(
        matches!(full.as_deref(), Some([Output::NotReplicated { why: ReplicationError::Full { .. }, .. }])),
        "{full:?}"
    );
    assert!(
        accepted_keys.len() > 40
            && two.both[0].journal_size().0 <= 40_000
            && two.both[1].replica_size().0 <= 40_000
    );
    for key in &accepted_keys {
        let ended = Step::Ended { key: Key(*key), outcome: Outcome::Served, answer: vec![2; 400] };
        assert_eq!(two.step(ended), []);
    }
    let (written, stored) = (two.both[0].journal_size(), two.both[1].replica_size());
    assert!(written.0 < 20_000 && stored.0 < 20_000, "{written:?} {stored:?}");
    assert_eq!(two.accept(2_000, 0, RepeatSafety::Safe, 500), [Output::Replicated { key: Key(2_000) }]);
}

#[test]
fn a_full_holder_is_reported_and_its_rejected_entries_are_not_replicated() {
    // The holder has half of the writer's storage.
    let mut two = Two::new(|settings| {
        settings.journal_bytes = if settings.site_map.own() == 0 { 40_000 } else { 20_000 };
    });
    let mut outputs = Vec::new();
    for key in 1..50 {
        outputs.extend(two.accept(key, 0, RepeatSafety::Safe, 500));
    }
    let replicated = outputs.iter().filter(|output| matches!(output, Output::Replicated { .. })).count();
    assert!(outputs.iter().any(|output| matches!(output, Output::Fault(JournalFault::Full { .. }))));
    assert!((20..40).contains(&replicated) && two.both[1].replica_size().0 <= 20_000, "{replicated}");
    two.now += 1_000_000;
    let late = two.settle().into_iter().filter(|output| {
        matches!(output, Output::NotReplicated { why: ReplicationError::Timeout { .. }, .. })
    });
    assert_eq!(late.count() + replicated, 49);
}

#[test]
fn nothing_is_retained_past_its_expiry() {
    let mut two = Two::new(|settings| settings.retention_ms = 2_000);
    for key in 1..100 {
        two.accept(key, 0, [RepeatSafety::Safe, RepeatSafety::Unsafe, KEYED][key as usize % 3], 100);
        let at = two.wall();
        two.step(Step::Sending { key: Key(key), attempt: 0, worker: "w".into(), at });
        // Every second event has no reported end.
        if key % 2 == 0 {
            two.step(Step::Ended { key: Key(key), outcome: Outcome::Served, answer: vec![1; 50] });
        }
    }
    assert!(two.both[0].journal_size().1 > 200 && two.both[1].replica_size().1 > 200);
    // A window of 7 s has expired after 9 s; the keys of the other events have expired after 7 s.
    for (span, most) in [(7_100_000, 150), (2_000_000, 0)] {
        two.now += span;
        (0..3).for_each(|_| _ = two.settle());
        let whole: usize =
            two.both[1].snapshots(0, u64::MAX).iter().map(|snapshot| snapshot.entries.len()).sum();
        assert!(whole <= most, "{whole} {most}");
    }
    assert_eq!(two.both[0].journal_size(), (0, 0));
    two.now += 70_000_000;
    two.settle();
    assert_eq!(two.both[1].replica_size(), (0, 0));
}

#[test]
fn foreign_and_malformed_frames_are_reported() {
    let mut two = Two::new(|_| {});
    for (bytes, error) in [
        (vec![0x33; 40], WireError::Version(0x33)),
        (vec![0x51; 40], WireError::Checksum),
        (Vec::new(), WireError::Checksum),
        (vec![0x51; 100_000], WireError::TooLong(100_000)),
    ] {
        let outputs = two.handle(Input::Frame { from: 1, bytes });
        assert_eq!(outputs, [Output::Fault(JournalFault::Frame { from: 1, error })]);
    }
    let mut out = Vec::new();
    two.handle(Input::Step(Step::Accepted(sample(1))));
    two.both[0].wake(two.now, 0, &mut out);
    let frame = out.into_iter().find_map(|output| match output {
        Output::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    // A frame of this gateway, sent back as if the other gateway had written this gateway's journal.
    let outputs = two.handle(Input::Frame { from: 1, bytes: frame.expect("sent") });
    assert_eq!(
        outputs,
        [Output::Fault(JournalFault::Frame { from: 1, error: WireError::ForeignJournal(1) })]
    );
}
