//! Test bed around a [`Controller`]: a clock, timers and a log of actions.
#![allow(dead_code)]
use basaltward::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

/// A worker of kind 0 with a hint of 1.
pub fn member(name: &str, state: WorkerState, started: Micros) -> Member {
    Member { worker: name.into(), state, started, hint: 1.0, kind: 0, zone: 0, cell: 0 }
}

/// A controller with workers named w0, w1, ... and a clock that the test advances.
pub struct TestBed {
    pub controller: Controller,
    pub now: Micros,
    pub timers: Vec<(Micros, u64)>,
    /// All actions except timers, with their time.
    pub log: Vec<(Micros, Action)>,
}

impl TestBed {
    pub fn new(settings: Settings, workers: usize) -> Self {
        let controller = Controller::new(settings, 1).expect("usable settings");
        let mut bed = Self { controller, now: 100 * S, timers: Vec::new(), log: Vec::new() };
        let members = (0..workers).map(|i| member(&format!("w{i}"), WorkerState::Active, 0)).collect();
        bed.event(Event::Members { kind: MembersKind::Stale, members });
        bed
    }

    /// Handles one event. Timers are stored; all other actions are logged and returned.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { after, token } = action {
                self.timers.push((self.now + after, *token));
            }
        }
        out.retain(|a| !matches!(a, Action::Timer { .. }));
        self.log.extend(out.iter().map(|a| (self.now, a.clone())));
        out
    }

    /// Advances the clock and fires due timers; returns the resulting actions.
    pub fn advance(&mut self, by: Micros) -> Vec<Action> {
        let until = self.now + by;
        let mut out = Vec::new();
        while let Some(next) = self.timers.iter().copied().filter(|t| t.0 <= until).min() {
            self.timers.retain(|t| *t != next);
            self.now = next.0;
            out.extend(self.event(Event::Timer { token: next.1 }));
        }
        self.now = until;
        out
    }

    pub fn request(&mut self, id: u64, function: &str, client_timeout: Micros) -> Vec<Action> {
        self.event(Event::Request(Request::new(id, function, 400.0, 2, client_timeout)))
    }

    pub fn outcome(
        &mut self,
        id: u64,
        attempt: usize,
        worker: &str,
        code: Code,
        after: Micros,
    ) -> Vec<Action> {
        let copy = if code == Code::Ok { CopyStatus::Loaded } else { CopyStatus::Unknown };
        self.event(Event::Outcome(Outcome {
            id: RequestId(id),
            attempt,
            worker: worker.into(),
            code,
            latency: after,
            is_final: code == Code::Ok,
            copy,
            crowd: None,
            report: Vec::new(),
        }))
    }

    pub fn loaded(&mut self, worker: &WorkerId, function: &str, count: u32, code: Code) -> Vec<Action> {
        let (worker, function) = (worker.clone(), function.into());
        self.event(Event::Loaded { worker, function, count, code, latency: 2 * MS })
    }

    /// Sends one request for function f every 5 ms, each served at once. Returns how many of them this worker got.
    pub fn served_by(&mut self, worker: &str, ids: std::ops::Range<u64>) -> usize {
        let mut count = 0;
        for id in ids {
            for (sent, to) in sends(&self.request(id, "f", 300 * MS)) {
                count += usize::from(to == worker);
                self.outcome(sent, 0, &to, Code::Ok, 5 * MS);
            }
            self.advance(5 * MS);
        }
        count
    }

    /// Answers every query among the actions: `count` copies at `holder`, none elsewhere.
    pub fn answer_queries(&mut self, actions: &[Action], holder: &str, count: u32) -> Vec<Action> {
        let mut out = Vec::new();
        for action in actions {
            if let Action::Load { worker, function, count: 0 } = action {
                let loaded = if worker.as_str() == holder { count } else { 0 };
                out.extend(self.loaded(&worker.clone(), function.as_str(), loaded, Code::Ok));
            }
        }
        out
    }
}

/// Settings of a single scheduler with one class and one kind of worker of 4,000 MB.
pub fn settings(repeat: Repeat) -> Settings {
    Settings::new(vec![Class::new(500 * MS, 2 * S, repeat)], vec![4_000.0])
}

/// The request and the worker of each attempt among the actions.
pub fn sends(actions: &[Action]) -> Vec<(u64, String)> {
    let pick = |a: &Action| match a {
        Action::Send { id, worker, .. } => Some((id.0, worker.to_string())),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// The workers at which the actions order a load.
pub fn loads(actions: &[Action]) -> Vec<String> {
    let pick = |a: &Action| match a {
        Action::Load { worker, count, .. } if *count > 0 => Some(worker.to_string()),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// The functions for which the actions order a load.
pub fn loads_of(actions: &[Action]) -> Vec<String> {
    let pick = |a: &Action| match a {
        Action::Load { function, count: 1.., .. } => Some(function.to_string()),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}
