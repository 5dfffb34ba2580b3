//! One scheduler as a process: started, stalled, stopped, killed by pid, and started again.

use basaltward_net::{Micros, monotonic};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, sync_channel};
use std::time::Duration;
use thiserror::Error;

/// How long a start or an orderly end may take, on a loaded machine too.
const PATIENCE: Duration = Duration::from_secs(20);

/// Why a process is not as it should be.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// It can't be started or waited for.
    #[error("process: {0}")]
    System(#[from] std::io::Error),
    /// It has not said that it serves.
    #[error("{0} did not come up")]
    NotUp(String),
    /// It has not ended after SIGTERM.
    #[error("{0} did not end")]
    NotDown(String),
}

/// What became of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It serves.
    Up,
    /// SIGTERM was sent.
    Stopping,
    /// It has ended by itself after SIGTERM, well or not.
    Ended(bool),
    /// It was killed.
    Killed,
    /// It stands still, and goes on.
    Stalled,
    /// It goes on.
    Resumed,
    /// It has ended though nobody told it to.
    Crashed,
}

/// A scheduler's process, or its place while there is none.
pub struct Process {
    name: String,
    program: PathBuf,
    config: PathBuf,
    records: PathBuf,
    child: Option<Child>,
    stalled: bool,
    /// What became of it, with the time.
    pub changes: Vec<(Micros, Change)>,
}

impl Process {
    /// A place for a scheduler of this program and configuration, whose records go to a file.
    pub fn new(name: &str, program: &Path, config: &Path, records: &Path) -> Self {
        let (program, config, records) = (program.into(), config.into(), records.into());
        Self { name: name.into(), program, config, records, child: None, stalled: false, changes: Vec::new() }
    }

    /// Another program from its next start on.
    pub fn set_program(&mut self, program: &Path) {
        self.program = program.into();
    }

    /// A place for a second one under the same name and configuration.
    pub fn twin(&self) -> Self {
        Self::new(&self.name, &self.program, &self.config, &self.records.with_extension("twin"))
    }

    /// Its process id, while there is one.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether there is one, and it does not stand still.
    pub fn runs(&self) -> bool {
        self.child.is_some() && !self.stalled
    }

    fn note(&mut self, change: Change) {
        self.changes.push((monotonic(), change));
    }

    /// Starts it and waits until it says that it serves.
    ///
    /// # Errors
    /// Where it does not.
    pub fn start(&mut self) -> Result<(), ProcessError> {
        self.kill();
        let mut command = Command::new(&self.program);
        command.args(["--log", "info", "node", "--records"]).arg(&self.records);
        command.env("NODE_CONFIG", &self.config).env_remove("NODE_LISTEN");
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let lines = child.stderr.take().map(BufReader::new);
        self.child = Some(child);
        let serving = said(lines.into_iter().flat_map(BufRead::lines), "serving");
        match serving.recv_timeout(PATIENCE) {
            Ok(()) => {
                self.note(Change::Up);
                Ok(())
            }
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                self.kill();
                Err(ProcessError::NotUp(self.name.clone()))
            }
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|pid| Pid::from_raw(pid as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Has it read its configuration anew.
    pub fn reread(&self) {
        self.signal(Signal::HUP);
    }

    /// It stands still from now on.
    pub fn stall(&mut self) {
        if self.child.is_some() && !std::mem::replace(&mut self.stalled, true) {
            self.signal(Signal::STOP);
            self.note(Change::Stalled);
        }
    }

    /// It goes on.
    pub fn resume(&mut self) {
        if self.child.is_some() && std::mem::take(&mut self.stalled) {
            self.signal(Signal::CONT);
            self.note(Change::Resumed);
        }
    }

    /// Kills it outright, if there is one.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.stalled = false;
            self.note(Change::Killed);
        }
    }

    /// Sends SIGTERM.
    pub fn stop(&mut self) {
        if self.child.is_some() {
            self.note(Change::Stopping);
            self.signal(Signal::TERM);
        }
    }

    /// Waits for its end after [`Process::stop`].
    ///
    /// # Errors
    /// Where it does not end.
    pub fn join(&mut self) -> Result<(), ProcessError> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        let until = std::time::Instant::now() + PATIENCE;
        while std::time::Instant::now() < until {
            if let Some(status) = child.try_wait()? {
                self.note(Change::Ended(status.success()));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.child = Some(child);
        self.kill();
        Err(ProcessError::NotDown(self.name.clone()))
    }

    /// Looks whether it has ended by itself; true where it did.
    pub fn crashed(&mut self) -> bool {
        let status: Option<ExitStatus> = self.child.as_mut().and_then(|c| c.try_wait().ok()).flatten();
        if status.is_some() {
            self.child = None;
            self.note(Change::Crashed);
        }
        status.is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads lines away on a thread of its own; tells once when one holds a word.
fn said(
    lines: impl Iterator<Item = std::io::Result<String>> + Send + 'static,
    word: &'static str,
) -> Receiver<()> {
    let (tell, told) = sync_channel(1);
    std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            if line.contains(word) {
                let _ = tell.try_send(());
            }
        }
    });
    told
}
