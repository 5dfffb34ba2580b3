//! A child process of the program that can be started, paused, stopped, killed by pid and started again.

use basaltward_net::{Micros, monotonic};
use rustix::process::{Pid, Signal, kill_process};
use std::collections::VecDeque;
use std::ffi::OsString;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;

/// Timeout of a start or a graceful stop; long enough for a loaded machine.
const START_STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Errors of starting or stopping a process.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The system failed to start the process or to wait for it.
    #[error("process: {0}")]
    System(#[from] std::io::Error),
    /// The process exited before it was ready, or did not print its ready line within 20 s.
    #[error("{0} did not become ready")]
    NotUp(String),
    /// The process did not exit within 20 s after SIGTERM.
    #[error("{0} did not end")]
    NotDown(String),
}

/// A change in the state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// It is ready.
    Up,
    /// SIGTERM was sent.
    Stopping,
    /// It exited after SIGTERM; true for exit status 0.
    Exited(bool),
    /// It was killed with SIGKILL.
    Killed,
    /// It was paused with SIGSTOP.
    Stalled,
    /// It was resumed with SIGCONT.
    Resumed,
    /// It exited without having been stopped.
    Crashed,
}

/// Command line and environment of a process.
#[derive(Clone, Debug, Default)]
pub struct Launch {
    /// Arguments.
    pub args: Vec<OsString>,
    /// Environment variables to set; those without a value are removed.
    pub env: Vec<(String, Option<OsString>)>,
    /// The process is ready once it prints a line that contains this text.
    pub ready_line: &'static str,
}

/// A process of the program, running or not.
pub struct Process {
    name: String,
    program: PathBuf,
    /// Command line and environment of the next start.
    pub launch: Launch,
    child: Option<Child>,
    stalled: bool,
    /// State changes with their times.
    pub changes: Vec<(Micros, StateChange)>,
    output: OutputLines,
}

/// The last output lines of a process.
type OutputLines = Arc<Mutex<VecDeque<String>>>;

/// Number of output lines retained per process.
const MAX_LINES: usize = 1_000;

impl Process {
    /// A process of this program, not started yet.
    pub fn new(name: &str, program: &Path, launch: Launch) -> Self {
        let (name, program) = (name.into(), program.into());
        let (changes, output) = Default::default();
        Self { name, program, launch, child: None, stalled: false, changes, output }
    }

    /// A scheduler process with this configuration that writes its records to a file; not started yet.
    pub fn scheduler(name: &str, program: &Path, config: &Path, records: &Path) -> Self {
        let mut args: Vec<OsString> = ["--log", "info", "node", "--records"].map(Into::into).to_vec();
        args.push(records.into());
        let vars = vec![("NODE_CONFIG".into(), Some(config.into())), ("NODE_LISTEN".into(), None)];
        Self::new(name, program, Launch { args, env: vars, ready_line: "serving" })
    }

    /// Sets the program for the next starts.
    pub fn set_program(&mut self, program: &Path) {
        self.program = program.into();
    }

    /// A second process with the same name and configuration, whose records go to a file of their own; not started yet.
    pub fn twin(&self) -> Self {
        let mut launch = self.launch.clone();
        if let Some(records) = launch.args.last_mut() {
            *records = PathBuf::from(&*records).with_extension("twin").into();
        }
        Self::new(&self.name, &self.program, launch)
    }

    /// The process id, if the process exists.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether the process exists and is not paused.
    pub fn is_running(&self) -> bool {
        self.child.is_some() && !self.stalled
    }

    /// The last output lines, over all starts of the process.
    pub fn output(&self) -> Vec<String> {
        self.output.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }

    fn log_change(&mut self, change: StateChange) {
        self.changes.push((monotonic(), change));
    }

    /// Starts the process and waits until it prints its ready line. One that still runs is killed before.
    ///
    /// # Errors
    /// The process cannot be started, exits before it is ready or is not ready within 20 s; it is killed then.
    pub fn start(&mut self) -> Result<(), ProcessError> {
        self.kill();
        let mut command = Command::new(&self.program);
        command.args(&self.launch.args);
        for (name, value) in &self.launch.env {
            match value {
                Some(value) => command.env(name, value),
                None => command.env_remove(name),
            };
        }
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()?;
        let (ready, is_ready) = sync_channel(1);
        let streams =
            [child.stdout.take().map(|s| Box::new(s) as _), child.stderr.take().map(|s| Box::new(s) as _)];
        self.child = Some(child);
        for stream in streams.into_iter().flatten() {
            read_output(stream, self.launch.ready_line, (ready.clone(), self.output.clone()));
        }
        drop(ready);
        if is_ready.recv_timeout(START_STOP_TIMEOUT).is_ok() {
            self.log_change(StateChange::Up);
            return Ok(());
        }
        self.kill();
        Err(ProcessError::NotUp(self.name.clone()))
    }

    fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|pid| Pid::from_raw(pid as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGHUP: the process reloads its configuration.
    pub fn reload_config(&self) {
        self.signal(Signal::HUP);
    }

    /// Pauses the process with SIGSTOP.
    pub fn stall(&mut self) {
        if self.child.is_some() && !std::mem::replace(&mut self.stalled, true) {
            self.signal(Signal::STOP);
            self.log_change(StateChange::Stalled);
        }
    }

    /// Resumes the paused process with SIGCONT.
    pub fn resume(&mut self) {
        if self.child.is_some() && std::mem::take(&mut self.stalled) {
            self.signal(Signal::CONT);
            self.log_change(StateChange::Resumed);
        }
    }

    /// Kills the process with SIGKILL, if it exists.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.stalled = false;
            self.log_change(StateChange::Killed);
        }
    }

    /// Sends SIGTERM.
    pub fn stop(&mut self) {
        if self.child.is_some() {
            self.log_change(StateChange::Stopping);
            self.signal(Signal::TERM);
        }
    }

    /// Waits until the process exits after [`Process::stop`].
    ///
    /// # Errors
    /// The process did not exit within 20 s; it is killed then.
    pub fn join(&mut self) -> Result<(), ProcessError> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        let until = std::time::Instant::now() + START_STOP_TIMEOUT;
        while std::time::Instant::now() < until {
            if let Some(status) = child.try_wait()? {
                self.log_change(StateChange::Exited(status.success()));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.child = Some(child);
        self.kill();
        Err(ProcessError::NotDown(self.name.clone()))
    }

    /// Checks whether the process has exited by itself, and logs that as a crash.
    pub fn check_crashed(&mut self) -> bool {
        let status: Option<ExitStatus> = self.child.as_mut().and_then(|c| c.try_wait().ok()).flatten();
        if status.is_some() {
            self.child = None;
            self.log_change(StateChange::Crashed);
        }
        status.is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads output lines on a thread of its own, so that the process never blocks on a full pipe, and signals `ready` at
/// the first line that contains `ready_line`.
fn read_output(
    stream: Box<dyn Read + Send>,
    ready_line: &'static str,
    (ready, output): (SyncSender<()>, OutputLines),
) {
    std::thread::spawn(move || {
        let mut ready = Some(ready);
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            if let Some(ready) = ready.take_if(|_| line.contains(ready_line)) {
                let _ = ready.try_send(());
            }
            let mut output = output.lock().unwrap_or_else(PoisonError::into_inner);
            if output.len() == MAX_LINES {
                output.pop_front();
            }
            output.push_back(line);
        }
    });
}
