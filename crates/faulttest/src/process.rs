//! One process of the program: started, stalled, stopped, killed by pid, and started again.

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
pub enum StateChange {
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

/// How a process is started.
#[derive(Clone, Debug, Default)]
pub struct Launch {
    /// Its arguments.
    pub args: Vec<OsString>,
    /// Variables set for it; one without a value is taken away.
    pub env: Vec<(String, Option<OsString>)>,
    /// It serves once it has said a line that holds this.
    pub ready_line: &'static str,
}

/// A process of the program, or its place while there is none.
pub struct Process {
    name: String,
    program: PathBuf,
    /// How its next start is made.
    pub launch: Launch,
    child: Option<Child>,
    stalled: bool,
    /// What became of it, with the time.
    pub changes: Vec<(Micros, StateChange)>,
    said: Said,
}

/// The last lines that a process has said.
type Said = Arc<Mutex<VecDeque<String>>>;

/// Lines kept of each process.
const MOST_LINES: usize = 1_000;

impl Process {
    /// A place for a process of this program.
    pub fn new(name: &str, program: &Path, launch: Launch) -> Self {
        let (name, program) = (name.into(), program.into());
        let (changes, said) = Default::default();
        Self { name, program, launch, child: None, stalled: false, changes, said }
    }

    /// A place for a scheduler of this program and configuration, whose records go to a file.
    pub fn scheduler(name: &str, program: &Path, config: &Path, records: &Path) -> Self {
        let mut args: Vec<OsString> = ["--log", "info", "node", "--records"].map(Into::into).to_vec();
        args.push(records.into());
        let vars = vec![("NODE_CONFIG".into(), Some(config.into())), ("NODE_LISTEN".into(), None)];
        Self::new(name, program, Launch { args, env: vars, ready_line: "serving" })
    }

    /// Another program from its next start on.
    pub fn set_program(&mut self, program: &Path) {
        self.program = program.into();
    }

    /// A place for a second one under the same name and configuration.
    pub fn twin(&self) -> Self {
        let mut launch = self.launch.clone();
        if let Some(records) = launch.args.last_mut() {
            *records = PathBuf::from(&*records).with_extension("twin").into();
        }
        Self::new(&self.name, &self.program, launch)
    }

    /// Its process id, while there is one.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether there is one, and it does not stand still.
    pub fn is_running(&self) -> bool {
        self.child.is_some() && !self.stalled
    }

    /// The last lines that it has said, in all its lives.
    pub fn said(&self) -> Vec<String> {
        self.said.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }

    fn note(&mut self, change: StateChange) {
        self.changes.push((monotonic(), change));
    }

    /// Starts it and waits until it says that it serves.
    ///
    /// # Errors
    /// Where it does not.
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
        let (tell, serving) = sync_channel(1);
        let streams =
            [child.stdout.take().map(|s| Box::new(s) as _), child.stderr.take().map(|s| Box::new(s) as _)];
        self.child = Some(child);
        for stream in streams.into_iter().flatten() {
            listen(stream, self.launch.ready_line, (tell.clone(), self.said.clone()));
        }
        drop(tell);
        if serving.recv_timeout(PATIENCE).is_ok() {
            self.note(StateChange::Up);
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

    /// Has it read its configuration anew.
    pub fn reload_config(&self) {
        self.signal(Signal::HUP);
    }

    /// It stands still from now on.
    pub fn stall(&mut self) {
        if self.child.is_some() && !std::mem::replace(&mut self.stalled, true) {
            self.signal(Signal::STOP);
            self.note(StateChange::Stalled);
        }
    }

    /// It goes on.
    pub fn resume(&mut self) {
        if self.child.is_some() && std::mem::take(&mut self.stalled) {
            self.signal(Signal::CONT);
            self.note(StateChange::Resumed);
        }
    }

    /// Kills it outright, if there is one.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.stalled = false;
            self.note(StateChange::Killed);
        }
    }

    /// Sends SIGTERM.
    pub fn stop(&mut self) {
        if self.child.is_some() {
            self.note(StateChange::Stopping);
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
                self.note(StateChange::Ended(status.success()));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.child = Some(child);
        self.kill();
        Err(ProcessError::NotDown(self.name.clone()))
    }

    /// Looks whether it has ended by itself; true where it did.
    pub fn check_crashed(&mut self) -> bool {
        let status: Option<ExitStatus> = self.child.as_mut().and_then(|c| c.try_wait().ok()).flatten();
        if status.is_some() {
            self.child = None;
            self.note(StateChange::Crashed);
        }
        status.is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads lines away on a thread of its own; tells once one holds a word.
fn listen(stream: Box<dyn Read + Send>, word: &'static str, (tell, said): (SyncSender<()>, Said)) {
    std::thread::spawn(move || {
        let mut tell = Some(tell);
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            if let Some(tell) = tell.take_if(|_| line.contains(word)) {
                let _ = tell.try_send(());
            }
            let mut said = said.lock().unwrap_or_else(PoisonError::into_inner);
            if said.len() == MOST_LINES {
                said.pop_front();
            }
            said.push_back(line);
        }
    });
}
