//! The controller alone, driven with ready answers.

use crate::spread;
use basaltward::{
    Action, Class, Code, Controller, CopyNote, Event, Member, MembersKind, Micros, Outcome, Repeat, Request,
    RequestId, Settings, WorkerId,
};
use std::collections::BTreeMap;
use std::error::Error;
use std::time::{Duration, Instant};

/// Answers come after this.
const ANSWER_US: Micros = 5_000;
/// Calls a second.
const RATE: u64 = 1_000;

enum Due {
    Timer(u64),
    Answer(RequestId, usize, WorkerId),
    Loaded(Action),
}

struct Run {
    controller: Controller,
    due: BTreeMap<(Micros, u64), Due>,
    number: u64,
    sent: BTreeMap<RequestId, usize>,
    spent: Duration,
    worst: Duration,
}

impl Run {
    fn tell(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        let start = Instant::now();
        self.controller.handle(now, event, &mut actions);
        let took = start.elapsed();
        self.spent += took;
        self.worst = self.worst.max(took);
        for action in actions {
            self.number += 1;
            let (at, due) = match action {
                Action::Timer { after, token } => (now + after, Due::Timer(token)),
                Action::Send { id, worker, .. } => {
                    let attempt = self.sent.entry(id).or_insert(0);
                    *attempt += 1;
                    (now + ANSWER_US, Due::Answer(id, *attempt - 1, worker))
                }
                load @ Action::Load { .. } => (now + 1_000, Due::Loaded(load)),
                _ => continue,
            };
            self.due.insert((at, self.number), due);
        }
    }

    fn until(&mut self, time: Micros) {
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= time) {
            let ((now, _), due) = entry.remove_entry();
            let event = match due {
                Due::Timer(token) => Event::Timer { token },
                Due::Answer(id, attempt, worker) => {
                    self.sent.remove(&id);
                    Event::Outcome(Outcome {
                        id,
                        attempt,
                        worker,
                        code: Code::Ok,
                        latency: ANSWER_US,
                        last: true,
                        copy: CopyNote::Stood,
                        crowd: Some(0),
                        report: Vec::new(),
                    })
                }
                Due::Loaded(Action::Load { worker, function, count }) => {
                    Event::Loaded { worker, function, count, code: Code::Ok, latency: 1_000 }
                }
                Due::Loaded(_) => continue,
            };
            self.tell(now, event);
        }
    }
}

/// Measures and prints; popularity falls as 1 / rank.
pub fn run(workers: usize, functions: usize, calls: u64, rounds: usize) -> Result<(), Box<dyn Error>> {
    let (mut means, mut worsts) = (Vec::new(), Vec::new());
    for _ in 0..rounds {
        let settings = Settings::new(vec![Class::new(500_000, 2_000_000, Repeat::Safe)], vec![100_000.0]);
        let controller = Controller::new(settings, 1)?;
        let (due, sent) = (BTreeMap::new(), BTreeMap::new());
        let (spent, worst) = (Duration::ZERO, Duration::ZERO);
        let mut run = Run { controller, due, number: 0, sent, spent, worst };
        let member = |i: usize| Member::active(&format!("10.0.{}.{}:7000", i / 250, i % 250));
        let members = (0..workers).map(member).collect();
        run.tell(0, Event::Members { kind: MembersKind::Whole, members });
        let total: f64 = (1..=functions).map(|rank| 1.0 / rank as f64).sum();
        // A multiplicative congruence in place of a random source: the same calls in every build.
        let mut state = 0x2545_f491_4f6c_dd1d_u64;
        for call in 0..calls {
            let now = call * 1_000_000 / RATE;
            run.until(now);
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let mut left = (state >> 11) as f64 / (1u64 << 53) as f64 * total;
            let mut rank = 1;
            while rank < functions && left > 1.0 / rank as f64 {
                left -= 1.0 / rank as f64;
                rank += 1;
            }
            run.tell(now, Event::Request(Request::new(call + 1, &format!("f{rank}"), 100.0, 4, 2_000_000)));
        }
        means.push(run.spent.as_secs_f64() * 1e6 / calls as f64);
        worsts.push(run.worst.as_secs_f64() * 1e3);
    }
    println!("{workers} workers, {functions} functions, {calls} calls at {RATE} a second, {rounds} rounds");
    println!("module's time a call, all its events: {} us", spread(means));
    println!("worst single event: {} ms", spread(worsts));
    Ok(())
}
