//! The real members: scheduler processes of the program, with the stand-ins for bulletin and worker that they need.

use super::error::HollowError;
use super::script::HollowSpec;
use crate::cluster::{ClusterSpec, HarnessError, configuration, target};
use crate::link::Party;
use crate::process::Process;
use crate::workspace::Workspace;
use basaltward_fakes::{FakeBulletin, LineWorker, WorkerAction};
use basaltward_net::Micros;
use basaltward_permits::Bounds;
use basaltward_rules::Recorder;
use std::net::SocketAddr;
use std::time::Duration;

/// Execution time of a call at the worker; no client sends calls in these runs.
const WORK: Duration = Duration::from_millis(5);

/// Real processes; they are killed on drop.
pub(crate) struct Real {
    /// The processes by number; they are the first members of the list.
    pub processes: Vec<Process>,
    // The stand-ins must exist as long as the processes run.
    _bulletin: FakeBulletin,
    _worker: LineWorker,
}

impl Real {
    /// Writes the configurations and starts all processes concurrently.
    pub fn start(
        spec: &HollowSpec,
        workspace: &Workspace,
        peers: &[SocketAddr],
    ) -> Result<Self, HollowError> {
        let worker = LineWorker::start(&Party::Worker(0).to_string(), Recorder::memory(), |exec| {
            let mut actions = vec![WorkerAction::Wait(WORK)];
            actions.extend(exec.serve());
            actions
        })?;
        let bulletin = FakeBulletin::start(2)?;
        let targets = [target(&Party::Worker(0).to_string(), worker.address(), "Ready")];
        let cluster = ClusterSpec {
            program: spec.program.clone(),
            schedulers: spec.real_members.max(1),
            workers: 1,
            work_ms: WORK.as_millis() as u64,
            pause_ms: 0,
            bounds: spec.permits.then(Bounds::default),
            seed: spec.seed,
        };
        let mut processes = Vec::new();
        for number in 0..spec.real_members {
            let listen = workspace.reserve(number)?;
            let config = workspace.file(&format!("n{number}.json"));
            let settings =
                configuration(&cluster, number, (listen, peers[number], bulletin.address()), peers, &targets);
            std::fs::write(&config, settings.to_string())?;
            let records = workspace.file(&format!("n{number}.records"));
            let name = Party::Scheduler(number).to_string();
            processes.push(Process::scheduler(&name, &spec.program, &config, &records));
        }
        let mut real = Self { processes, _bulletin: bulletin, _worker: worker };
        real.start_all(&vec![true; spec.real_members])?;
        Ok(real)
    }

    /// Starts the processes for which `selected` is true, concurrently, and waits until each is ready.
    pub fn start_all(&mut self, selected: &[bool]) -> Result<(), HollowError> {
        let started: Vec<Result<(), _>> = std::thread::scope(|scope| {
            let to_start = self.processes.iter_mut().zip(selected).filter(|(_, selected)| **selected);
            let threads: Vec<_> = to_start.map(|(process, _)| scope.spawn(|| process.start())).collect();
            threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
        });
        started.into_iter().collect::<Result<(), _>>().map_err(HarnessError::from)?;
        Ok(())
    }

    /// Total processor time of the running processes in microseconds, and their number; `None` if it cannot be read for
    /// one.
    pub fn cpu_us(&self) -> Option<(Micros, usize)> {
        let pids: Vec<_> = self.processes.iter().filter_map(Process::pid).collect();
        let used = pids.iter().map(|pid| {
            let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
            // Nanoseconds on a processor of the first thread, which does all the work.
            Some(text.split_whitespace().next()?.parse::<Micros>().ok()? / 1_000)
        });
        Some((used.sum::<Option<Micros>>()?, pids.len()))
    }

    /// Names of the processes that should run but have exited.
    pub fn crashed(&mut self, running: &[bool]) -> Vec<String> {
        let all = self.processes.iter_mut().zip(running).enumerate();
        let crashed = all.filter_map(|(number, (process, runs))| {
            (*runs && process.check_crashed()).then(|| Party::Scheduler(number).to_string())
        });
        crashed.collect()
    }

    /// Stops all processes and waits until they exit; returns the errors of those that did not.
    pub fn finish(&mut self) -> Vec<String> {
        self.processes.iter_mut().for_each(Process::stop);
        let join = |process: &mut Process| process.join().err().map(|error| error.to_string());
        self.processes.iter_mut().filter_map(join).collect()
    }
}
