//! A day played over loopback sockets.

use crate::harness::{Harness, HarnessError, rule_settings, wall};
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

/// Why a day could not be played to its end.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// Gateways, workers or their files.
    #[error(transparent)]
    Bed(#[from] HarnessError),
    /// The clients' loop.
    #[error("clients: {0}")]
    Net(#[from] NetError),
    /// The clients' thread has panicked.
    #[error("the clients have panicked")]
    Panicked,
}

/// What a day came to.
pub struct Verdict {
    /// By event, as the clients saw it.
    pub tally: ClientStats,
    /// Broken rules.
    pub breaches: Vec<Breach>,
    /// The service figure.
    pub service: Service,
    /// All that crossed the sockets, by time.
    pub records: Vec<Record>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Later {
    Step(usize),
    /// The end of a step's fault.
    End(usize),
    Listed(usize, Listed),
    Restart(usize),
    FillRoster,
    GatewayUp(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Listed {
    Leaving,
    Gone,
    Started(u64),
}

struct Day<'a> {
    script: &'a Scenario,
    bed: Harness,
    later: Timers<Later>,
    /// Gateways on their way out, by position.
    ending: Vec<(usize, Gateway)>,
    failed: Option<HarnessError>,
}

/// Plays a day to its end, all random choices drawn from its seed, and judges it.
///
/// # Errors
/// Where something of the day could not run; a broken rule is part of the verdict.
pub fn run_scenario(script: &Scenario) -> Result<Verdict, ScenarioError> {
    let recorder = Recorder::memory();
    let bed = Harness::start(&script.config, script.gateways, script.workers.clone(), recorder.clone())?;
    let rules = rule_settings(&bed.config, &bed.roster.entries);
    let mut day = Day { script, bed, later: Timers::default(), ending: Vec::new(), failed: None };
    for (index, step) in script.steps.iter().enumerate() {
        day.later.set(step.at, Later::Step(index));
    }
    let clients = Clients::new(day.bed.addresses.clone(), recorder.clone())?;
    let plans = workload::draw(script);
    // What happens to gateways and workers has a thread of its own: starting a gateway or waiting for a fault
    // to be done takes milliseconds, in which the clients would read no answers.
    let tally = std::thread::scope(|scope| {
        let (done, ended) = std::sync::mpsc::channel();
        let clients = scope.spawn(move || {
            let tally = clients.run(plans);
            let _ = done.send(());
            tally
        });
        day.direct(monotonic(), &ended);
        clients.join()
    });
    let tally = tally.map_err(|_| ScenarioError::Panicked)??;
    for (_, gateway) in day.ending {
        gateway.join().map_err(HarnessError::from)?;
    }
    day.bed.stop()?;
    if let Some(error) = day.failed {
        return Err(error.into());
    }
    let records = recorder.take();
    let (breaches, service) = (check(&records, &rules), service(&records, &rules));
    Ok(Verdict { tally, breaches, service, records })
}

impl Day<'_> {
    /// Does each thing at its time, and those left when the clients have ended.
    fn direct(&mut self, start: Micros, clients: &Receiver<()>) {
        let mut running = true;
        loop {
            let now = monotonic() - start;
            while let Some((_, later)) = self.later.pop_due(now) {
                if let Err(error) = self.act(now, later) {
                    self.failed.get_or_insert(error);
                }
            }
            let wait = self.later.next_due().map(|at| Duration::from_micros(at.saturating_sub(now)));
            match (running, wait) {
                (true, Some(wait)) => running = clients.recv_timeout(wait) == Err(RecvTimeoutError::Timeout),
                (true, None) => {
                    let _ = clients.recv();
                    running = false;
                }
                (false, Some(wait)) => std::thread::sleep(wait),
                (false, None) => return,
            }
        }
    }

    fn act(&mut self, now: Micros, later: Later) -> Result<(), HarnessError> {
        let lag = self.script.roster_delay;
        match later {
            Later::Step(index) => match self.script.steps[index].action {
                Action::WorkerFault(worker, fault, end) => {
                    self.bed.fleet.inject_fault(worker, fault);
                    if let Some((span, _)) = end {
                        self.later.set(now + span, Later::End(index));
                    }
                }
                Action::Drain(worker, span) => {
                    self.bed.fleet.inject_fault(worker, Fault::Drain(true));
                    self.later.set(now + lag, Later::Listed(worker, Listed::Leaving));
                    self.later.set(now + span.max(lag), Later::Listed(worker, Listed::Gone));
                    self.later.set(now + span, Later::Restart(worker));
                }
                Action::Kill(worker, span) => {
                    self.bed.fleet.inject_fault(worker, Fault::Kill);
                    if span > lag {
                        self.later.set(now + lag, Later::Listed(worker, Listed::Gone));
                    }
                    self.later.set(now + span, Later::Restart(worker));
                }
                Action::RestartGateway(index, span, kill) => {
                    if let Some(gateway) = self.bed.take_gateway(index) {
                        if kill {
                            gateway.kill()
                        } else {
                            gateway.stop()
                        }
                        self.ending.push((index, gateway));
                        self.later.set(now + span, Later::GatewayUp(index));
                    }
                }
                Action::EmptyRoster(span) => {
                    self.bed.roster.save_empty()?;
                    self.later.set(now + span, Later::FillRoster);
                }
                Action::Surge(..) | Action::EarlyLeavers { .. } => {}
            },
            Later::End(index) => {
                if let Action::WorkerFault(worker, _, Some((_, end))) = self.script.steps[index].action {
                    self.bed.fleet.inject_fault(worker, end);
                }
            }
            Later::Restart(worker) => {
                self.bed.fleet.inject_fault(worker, Fault::Kill);
                self.bed.fleet.inject_fault(worker, Fault::Restart);
                self.later.set(now + lag, Later::Listed(worker, Listed::Started(wall())));
            }
            Later::Listed(worker, Listed::Leaving) => {
                self.bed.roster.set_state(worker, WorkerState::Leaving)?
            }
            Later::Listed(worker, Listed::Gone) => self.bed.roster.set_state(worker, WorkerState::Gone)?,
            Later::Listed(worker, Listed::Started(at)) => self.bed.roster.set_restarted(worker, at)?,
            Later::FillRoster => self.bed.roster.save()?,
            Later::GatewayUp(index) => self.gateway_up(now, index)?,
        }
        Ok(())
    }

    /// Starts a gateway again once the one before has ended: it needs the same address.
    fn gateway_up(&mut self, now: Micros, index: usize) -> Result<(), HarnessError> {
        match self.ending.iter().position(|(i, _)| *i == index) {
            Some(at) if !self.ending[at].1.is_finished() => {
                self.later.set(now + 5_000, Later::GatewayUp(index));
                return Ok(());
            }
            Some(at) => self.ending.remove(at).1.join()?,
            None => {}
        }
        self.bed.start_gateway(index)
    }
}
