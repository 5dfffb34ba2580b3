//! The real members: processes of the program, with the bulletin and the worker that a scheduler wants.

use super::error::HollowError;
use super::script::HollowSpec;
use crate::bed::{BedSpec, TrialError, configuration, target};
use crate::process::Process;
use crate::way::Party;
use crate::workspace::Workspace;
use basaltward_fakes::{FakeBulletin, LineWorker, WorkerAction};
use basaltward_net::Micros;
use basaltward_permits::Bounds;
use basaltward_rules::Recorder;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a call runs at the worker; no client calls here.
const WORK: Duration = Duration::from_millis(5);

/// Real processes. They end with the value.
pub(crate) struct Real {
    /// By number: the first members of the list.
    pub processes: Vec<Process>,
    // Held for as long as processes run.
    _board: FakeBulletin,
    _worker: LineWorker,
}

impl Real {
    /// Writes their configurations and starts all of them at once.
    pub fn start(
        spec: &HollowSpec,
        workspace: &Workspace,
        peers: &[SocketAddr],
    ) -> Result<Self, HollowError> {
        let worker = LineWorker::start(&Party::Worker(0).to_string(), Recorder::memory(), |exec| {
            let mut acts = vec![WorkerAction::Wait(WORK)];
            acts.extend(exec.serve());
            acts
        })?;
        let board = FakeBulletin::start(2)?;
        let targets = [target(&Party::Worker(0).to_string(), worker.address(), "Ready")];
        let bed = BedSpec {
            program: spec.program.clone(),
            schedulers: spec.real.max(1),
            workers: 1,
            work_ms: WORK.as_millis() as u64,
            pause_ms: 0,
            bounds: spec.permits.then(Bounds::default),
            seed: spec.seed,
        };
        let mut processes = Vec::new();
        for number in 0..spec.real {
            let listen = workspace.reserve(number)?;
            let config = workspace.file(&format!("n{number}.json"));
            let told = configuration(&bed, number, (listen, peers[number], board.address()), peers, &targets);
            std::fs::write(&config, told.to_string())?;
            let records = workspace.file(&format!("n{number}.records"));
            let name = Party::Scheduler(number).to_string();
            processes.push(Process::scheduler(&name, &spec.program, &config, &records));
        }
        let mut real = Self { processes, _board: board, _worker: worker };
        real.start_all(&vec![true; spec.real])?;
        Ok(real)
    }

    /// Starts those that are wanted, all at once, and waits until each serves.
    pub fn start_all(&mut self, wanted: &[bool]) -> Result<(), HollowError> {
        let started: Vec<Result<(), _>> = std::thread::scope(|scope| {
            let wanted = self.processes.iter_mut().zip(wanted).filter(|(_, wanted)| **wanted);
            let threads: Vec<_> = wanted.map(|(process, _)| scope.spawn(|| process.start())).collect();
            threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
        });
        started.into_iter().collect::<Result<(), _>>().map_err(TrialError::from)?;
        Ok(())
    }

    /// Processor time that those that run have used, and how many there are; none where one can't be read.
    pub fn cpu_us(&self) -> Option<(Micros, usize)> {
        let pids: Vec<_> = self.processes.iter().filter_map(Process::pid).collect();
        let used = pids.iter().map(|pid| {
            let told = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
            // Of the first thread, which carries everything: nanoseconds on a processor.
            Some(told.split_whitespace().next()?.parse::<Micros>().ok()? / 1_000)
        });
        Some((used.sum::<Option<Micros>>()?, pids.len()))
    }

    /// Names of those that should run and have ended by themselves.
    pub fn crashed(&mut self, running: &[bool]) -> Vec<String> {
        let all = self.processes.iter_mut().zip(running).enumerate();
        let crashed = all.filter_map(|(number, (process, runs))| {
            (*runs && process.crashed()).then(|| Party::Scheduler(number).to_string())
        });
        crashed.collect()
    }

    /// Tells all to stop and waits for their end; names of those that did not end well.
    pub fn finish(&mut self) -> Vec<String> {
        self.processes.iter_mut().for_each(Process::stop);
        let join = |process: &mut Process| process.join().err().map(|error| error.to_string());
        self.processes.iter_mut().filter_map(join).collect()
    }
}
