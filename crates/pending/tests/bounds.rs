//! What is refused, and how, where a bound is reached; what is let go of, and when.
use basaltward_membership::{MemberId, Micros, SiteMap};
use basaltward_pending::{
    Accepted, Input, JournalFault, Key, Outcome, Output, PendingEvents, PendingSettings, RepeatSafety,
    ReplicationError, Step, WireError,
};
use basaltward_permits::Subject;

const KEYED: RepeatSafety = RepeatSafety::Keyed { window: 7_000_000 };

/// Two gateways at two sites with nothing between them but this; the first takes kept events.
struct Two {
    both: [PendingEvents; 2],
    now: Micros,
}

impl Two {
    fn new(change: impl Fn(&mut PendingSettings)) -> Self {
        let start = |own: MemberId| {
            let places = SiteMap::new(vec![0, 1], own).expect("in the list");
            let mut settings = PendingSettings::new(places, u64::from(own) + 7, vec![1, 2, 0], 1);
            change(&mut settings);
            PendingEvents::new(settings, 0)
        };
        let mut two = Self { both: [start(0), start(1)], now: 4_000_000 };
        two.tell(Input::LivePeers(vec![true; 2]));
        two.tell(Input::LinkUp { of: 1, life: 8 });
        for subject in [Subject::Site(0), Subject::Gateway(0)] {
            two.tell(Input::ReclaimReply { subject, permit: 0 });
        }
        (0..3).for_each(|_| _ = two.settle());
        assert!(two.both[0].is_ready());
        two
    }

    fn wall(&self) -> u64 {
        self.now / 1_000
    }

    fn tell(&mut self, input: Input) -> Vec<Output> {
        let (wall, mut out) = (self.wall(), Vec::new());
        self.both[0].handle(self.now, wall, input, &mut out);
        out
    }

    fn step(&mut self, step: Step) -> Vec<Output> {
        let mut out = self.tell(Input::Step(step));
        out.extend(self.settle());
        out
    }

    /// Wakes both and carries frames until none is left; what each has told beside.
    fn settle(&mut self) -> Vec<Output> {
        let (wall, mut told, mut queue) = (self.wall(), Vec::new(), Vec::new());
        for from in 0..2 {
            let mut out = Vec::new();
            self.both[from].wake(self.now, wall, &mut out);
            queue.extend(out.into_iter().map(|output| (from as MemberId, output)));
        }
        while !queue.is_empty() {
            for (from, output) in std::mem::take(&mut queue) {
                let Output::Send { to, bytes } = output else {
                    told.push(output);
                    continue;
                };
                let mut out = Vec::new();
                self.both[usize::from(to)].handle(self.now, wall, Input::Frame { from, bytes }, &mut out);
                queue.extend(out.into_iter().map(|output| (to, output)));
            }
        }
        told
    }

    fn accept(&mut self, key: u128, class: u16, again: RepeatSafety, bytes: usize) -> Vec<Output> {
        let deadline = self.wall() + 5_000;
        let (key, event) = (Key(key), vec![1; bytes]);
        let accepted = Accepted {
            key,
            class,
            tenant: 0,
            function: "f".into(),
            repeat_safety: again,
            finish_without_client: false,
            deadline,
            event,
        };
        self.step(Step::Accepted(accepted))
    }
}

fn unheld(key: u128, why: ReplicationError) -> Vec<Output> {
    vec![Output::NotReplicated { key: Key(key), why }]
}

#[test]
fn what_cannot_be_kept_is_refused_with_its_reason() {
    let mut two = Two::new(|settings| settings.entry_bytes = 100);
    assert_eq!(two.accept(1, 2, KEYED, 10), unheld(1, ReplicationError::Class(2)));
    assert_eq!(two.accept(1, 9, KEYED, 10), unheld(1, ReplicationError::Class(9)));
    assert_eq!(two.accept(1, 1, KEYED, 10), unheld(1, ReplicationError::Few { required: 2, live: 1 }));
    assert_eq!(two.accept(1, 0, KEYED, 100), unheld(1, ReplicationError::Long { bytes: 101, most: 100 }));
    assert_eq!(two.both[1].replica_size().1, 0);
    assert_eq!(two.accept(1, 0, KEYED, 99), [Output::Replicated { key: Key(1) }]);
    assert_eq!(two.accept(1, 0, KEYED, 10), unheld(1, ReplicationError::Doubled(Key(1))));
    let sending = Step::Sending { key: Key(2), attempt: 3, worker: "w".into(), at: 0 };
    let why = ReplicationError::Unknown(Key(2));
    assert_eq!(two.step(sending), [Output::SendDenied { key: Key(2), attempt: 3, why }]);
    let mut young =
        PendingEvents::new(PendingSettings::new(SiteMap::new(vec![0, 1], 0).expect("one"), 1, vec![1], 1), 0);
    let (accepted, mut out) = (Accepted { event: Vec::new(), ..sample(1) }, Vec::new());
    young.handle(0, 0, Input::Step(Step::Accepted(accepted)), &mut out);
    assert_eq!(out, unheld(1, ReplicationError::Away));
}

fn sample(key: u128) -> Accepted {
    let (function, again) = ("f".into(), RepeatSafety::Unsafe);
    Accepted {
        key: Key(key),
        class: 0,
        tenant: 0,
        function,
        repeat_safety: again,
        finish_without_client: true,
        deadline: 90_000,
        event: vec![],
    }
}

#[test]
fn a_journal_that_is_full_takes_no_event_more_but_every_step_of_those_it_has() {
    let mut two = Two::new(|settings| settings.journal_bytes = 40_000);
    let mut taken = Vec::new();
    let full = (1..1_000).find_map(|key| match &two.accept(key, 0, RepeatSafety::Safe, 500)[..] {
        [Output::Replicated { .. }] => {
            taken.push(key);
            None
        }
        other => Some(other.to_vec()),
    });
    assert!(
        matches!(full.as_deref(), Some([Output::NotReplicated { why: ReplicationError::Full { .. }, .. }])),
        "{full:?}"
    );
    assert!(
        taken.len() > 40 && two.both[0].journal_size().0 <= 40_000 && two.both[1].replica_size().0 <= 40_000
    );
    for key in &taken {
        let ended = Step::Ended { key: Key(*key), outcome: Outcome::Served, answer: vec![2; 400] };
        assert_eq!(two.step(ended), []);
    }
    let (own, held) = (two.both[0].journal_size(), two.both[1].replica_size());
    assert!(own.0 < 20_000 && held.0 < 20_000, "{own:?} {held:?}");
    assert_eq!(two.accept(2_000, 0, RepeatSafety::Safe, 500), [Output::Replicated { key: Key(2_000) }]);
}

#[test]
fn a_neighbour_that_is_full_is_named_and_what_it_did_not_take_is_not_held() {
    // The holder has half of the writer's room.
    let mut two = Two::new(|settings| {
        settings.journal_bytes = if settings.site_map.own() == 0 { 40_000 } else { 20_000 };
    });
    let mut told = Vec::new();
    for key in 1..50 {
        told.extend(two.accept(key, 0, RepeatSafety::Safe, 500));
    }
    let held = told.iter().filter(|output| matches!(output, Output::Replicated { .. })).count();
    assert!(told.iter().any(|output| matches!(output, Output::Fault(JournalFault::Full { .. }))));
    assert!((20..40).contains(&held) && two.both[1].replica_size().0 <= 20_000, "{held}");
    two.now += 1_000_000;
    let late = two
        .settle()
        .into_iter()
        .filter(|output| matches!(output, Output::NotReplicated { why: ReplicationError::Late { .. }, .. }));
    assert_eq!(late.count() + held, 49);
}

#[test]
fn nothing_is_kept_past_its_time() {
    let mut two = Two::new(|settings| settings.retention_ms = 2_000);
    for key in 1..100 {
        two.accept(key, 0, [RepeatSafety::Safe, RepeatSafety::Unsafe, KEYED][key as usize % 3], 100);
        let at = two.wall();
        two.step(Step::Sending { key: Key(key), attempt: 0, worker: "w".into(), at });
        // Of every second one nobody says how it ended.
        if key % 2 == 0 {
            two.step(Step::Ended { key: Key(key), outcome: Outcome::Served, answer: vec![1; 50] });
        }
    }
    assert!(two.both[0].journal_size().1 > 200 && two.both[1].replica_size().1 > 200);
    // A window that runs for 7 s is over after 9; keys of the others are gone after 7.
    for (span, most) in [(7_100_000, 150), (2_000_000, 0)] {
        two.now += span;
        (0..3).for_each(|_| _ = two.settle());
        let whole: usize = two.both[1].snapshots(0, u64::MAX).iter().map(|copy| copy.entries.len()).sum();
        assert!(whole <= most, "{whole} {most}");
    }
    assert_eq!(two.both[0].journal_size(), (0, 0));
    two.now += 70_000_000;
    two.settle();
    assert_eq!(two.both[1].replica_size(), (0, 0));
}

#[test]
fn frames_of_strangers_and_of_other_versions_are_named() {
    let mut two = Two::new(|_| {});
    for (bytes, error) in [
        (vec![0x33; 40], WireError::Version(0x33)),
        (vec![0x51; 40], WireError::Checksum),
        (Vec::new(), WireError::Checksum),
        (vec![0x51; 100_000], WireError::Long(100_000)),
    ] {
        let told = two.tell(Input::Frame { from: 1, bytes });
        assert_eq!(told, [Output::Fault(JournalFault::Frame { from: 1, error })]);
    }
    let mut out = Vec::new();
    two.tell(Input::Step(Step::Accepted(sample(1))));
    two.both[0].wake(two.now, 0, &mut out);
    let lines = out.into_iter().find_map(|output| match output {
        Output::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    // Our own frame, come back as if the other had written our journal.
    let told = two.tell(Input::Frame { from: 1, bytes: lines.expect("sent") });
    assert_eq!(told, [Output::Fault(JournalFault::Frame { from: 1, error: WireError::Foreign(1) })]);
}
