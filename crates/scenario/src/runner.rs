//! Runs a scenario over loopback sockets.

use crate::harness::{Harness, HarnessError, rule_settings, wall_time};
use crate::script::{Action, Scenario};
use crate::workload;
use basaltward::WorkerState;
use basaltward_fakes::{ClientStats, Clients, Fault};
use basaltward_gateway::Gateway;
use basaltward_net::{Micros, NetError, monotonic};
use basaltward_rules::{Breach, Record, Recorder, Service, check, service};
use basaltward_timers::Timers;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;
use thiserror::Error;

/// Why a scenario could not be run to its end.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// Gateways, workers or their files failed.
    #[error(transparent)]
    Harness(#[from] HarnessError),
    /// The clients' event loop failed.
    #[error("clients: {0}")]
    Net(#[from] NetError),
    /// The clients' thread panicked.
    #[error("the clients' thread panicked")]
    Panicked,
}

/// Results of a scenario, judged by the rules.
pub struct Verdict {
    /// Results as the clients saw them.
    pub client_stats: ClientStats,
    /// Breaches of the rules.
    pub breaches: Vec<Breach>,
    /// The service score.
    pub service: Service,
    /// Records of the traffic between clients, gateways and workers, by time.
    pub records: Vec<Record>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The step at this position begins.
    Step(usize),
    /// The fault of the step at this position ends.
    FaultEnd(usize),
    /// The roster lists a change of this worker.
    RosterChange(usize, RosterChange),
    RestartWorker(usize),
    RestoreRoster,
    StartGateway(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RosterChange {
    Leaving,
    Gone,
    /// Started at this wall-clock time, in microseconds since 1970.
    Started(u64),
}

struct Runner<'a> {
    scenario: &'a Scenario,
    harness: Harness,
    timers: Timers<Timer>,
    /// Gateways that were stopped or killed and may not have ended yet, with their positions.
    ending: Vec<(usize, Gateway)>,
    /// The first error of a step.
    error: Option<HarnessError>,
}

/// Runs a scenario to its end and judges it by the rules. All random choices follow from the scenario's seed.
///
/// # Errors
/// If a part of the scenario could not run. A broken rule is not an error; the verdict lists it.
pub fn run_scenario(scenario: &Scenario) -> Result<Verdict, ScenarioError> {
    let recorder = Recorder::memory();
    let harness =
        Harness::start(&scenario.config, scenario.gateways, scenario.workers.clone(), recorder.clone())?;
    let rules = rule_settings(&harness.config, &harness.roster.entries);
    let mut runner = Runner { scenario, harness, timers: Timers::default(), ending: Vec::new(), error: None };
    for (index, step) in scenario.steps.iter().enumerate() {
        runner.timers.set(step.at, Timer::Step(index));
    }
    let clients = Clients::new(runner.harness.addresses.clone(), recorder.clone())?;
    let plans = workload::generate(scenario);
    // The clients have a thread of their own: starting a gateway or waiting until a fault is in effect takes
    // milliseconds, in which they would read no answers.
    let client_stats = std::thread::scope(|scope| {
        let (done, clients_ended) = std::sync::mpsc::channel();
        let clients = scope.spawn(move || {
            let client_stats = clients.run(plans);
            let _ = done.send(());
            client_stats
        });
        runner.run_steps(monotonic(), &clients_ended);
        clients.join()
    });
    let client_stats = client_stats.map_err(|_| ScenarioError::Panicked)??;
    for (_, gateway) in runner.ending {
        gateway.join().map_err(HarnessError::from)?;
    }
    runner.harness.stop()?;
    if let Some(error) = runner.error {
        return Err(error.into());
    }
    let records = recorder.take();
    let (breaches, service) = (check(&records, &rules), service(&records, &rules));
    Ok(Verdict { client_stats, breaches, service, records })
}

impl Runner<'_> {
    /// Handles each timer at its time, and returns when the clients have ended and no timer is left.
    fn run_steps(&mut self, start: Micros, clients_ended: &Receiver<()>) {
        let mut clients_running = true;
        loop {
            let now = monotonic() - start;
            while let Some((_, timer)) = self.timers.pop_due(now) {
                if let Err(error) = self.handle(now, timer) {
                    self.error.get_or_insert(error);
                }
            }
            let wait = self.timers.next_due().map(|at| Duration::from_micros(at.saturating_sub(now)));
            match (clients_running, wait) {
                (true, Some(wait)) => {
                    clients_running = clients_ended.recv_timeout(wait) == Err(RecvTimeoutError::Timeout)
                }
                (true, None) => {
                    let _ = clients_ended.recv();
                    clients_running = false;
                }
                (false, Some(wait)) => std::thread::sleep(wait),
                (false, None) => return,
            }
        }
    }

    fn handle(&mut self, now: Micros, timer: Timer) -> Result<(), HarnessError> {
        let roster_delay = self.scenario.roster_delay;
        match timer {
            Timer::Step(index) => match self.scenario.steps[index].action {
                Action::WorkerFault(worker, fault, end) => {
                    self.harness.fleet.inject_fault(worker, fault);
                    if let Some((span, _)) = end {
                        self.timers.set(now + span, Timer::FaultEnd(index));
                    }
                }
                Action::Drain(worker, span) => {
                    self.harness.fleet.inject_fault(worker, Fault::Drain(true));
                    self.timers.set(now + roster_delay, Timer::RosterChange(worker, RosterChange::Leaving));
                    self.timers
                        .set(now + span.max(roster_delay), Timer::RosterChange(worker, RosterChange::Gone));
                    self.timers.set(now + span, Timer::RestartWorker(worker));
                }
                Action::Kill(worker, span) => {
                    self.harness.fleet.inject_fault(worker, Fault::Kill);
                    if span > roster_delay {
                        self.timers.set(now + roster_delay, Timer::RosterChange(worker, RosterChange::Gone));
                    }
                    self.timers.set(now + span, Timer::RestartWorker(worker));
                }
                Action::RestartGateway(index, span, kill) => {
                    if let Some(gateway) = self.harness.take_gateway(index) {
                        if kill {
                            gateway.kill()
                        } else {
                            gateway.stop()
                        }
                        self.ending.push((index, gateway));
                        self.timers.set(now + span, Timer::StartGateway(index));
                    }
                }
                Action::EmptyRoster(span) => {
                    self.harness.roster.save_empty()?;
                    self.timers.set(now + span, Timer::RestoreRoster);
                }
                Action::Surge(..) | Action::EarlyLeavers { .. } => {}
            },
            Timer::FaultEnd(index) => {
                if let Action::WorkerFault(worker, _, Some((_, end))) = self.scenario.steps[index].action {
                    self.harness.fleet.inject_fault(worker, end);
                }
            }
            Timer::RestartWorker(worker) => {
                self.harness.fleet.inject_fault(worker, Fault::Kill);
                self.harness.fleet.inject_fault(worker, Fault::Restart);
                self.timers
                    .set(now + roster_delay, Timer::RosterChange(worker, RosterChange::Started(wall_time())));
            }
            Timer::RosterChange(worker, RosterChange::Leaving) => {
                self.harness.roster.set_state(worker, WorkerState::Leaving)?
            }
            Timer::RosterChange(worker, RosterChange::Gone) => {
                self.harness.roster.set_state(worker, WorkerState::Gone)?
            }
            Timer::RosterChange(worker, RosterChange::Started(at)) => {
                self.harness.roster.set_restarted(worker, at)?
            }
            Timer::RestoreRoster => self.harness.roster.save()?,
            Timer::StartGateway(index) => self.restart_gateway(now, index)?,
        }
        Ok(())
    }

    /// Starts a gateway again. It needs the address of the previous one, so while that has not ended this tries again
    /// every 5 ms.
    fn restart_gateway(&mut self, now: Micros, index: usize) -> Result<(), HarnessError> {
        match self.ending.iter().position(|(i, _)| *i == index) {
            Some(at) if !self.ending[at].1.is_finished() => {
                self.timers.set(now + 5_000, Timer::StartGateway(index));
                return Ok(());
            }
            Some(at) => self.ending.remove(at).1.join()?,
            None => {}
        }
        self.harness.start_gateway(index)
    }
}
