//! The live scheduler as a child process.
use rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver};

/// The command that starts it with a configuration file.
pub fn program(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basaltward"));
    command.args(["node", "--log", "info"]).env("NODE_CONFIG", config).env_remove("NODE_LISTEN");
    command.stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

/// Writes a configuration file with a name unique to this process and returns its path.
pub fn config_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("basaltward-program-{name}-{}.json", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path
}

/// Starts it and returns it with its listen address, which its first log line names; further lines are discarded.
#[allow(dead_code)]
pub fn start(config: &Path) -> (Child, SocketAddr) {
    let (child, address, _) = start_with_log(config);
    (child, address)
}

/// Like [`start`]; also returns a channel of the further log lines.
pub fn start_with_log(config: &Path) -> (Child, SocketAddr, Receiver<String>) {
    let mut child = program(config).spawn().expect("the process starts");
    let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
    let line = lines.next().expect("a first log line").expect("UTF-8");
    let address = line.rsplit_once("address=").expect("an address field").1.parse().expect("an address");
    let (sender, log) = mpsc::channel();
    std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| drop(sender.send(line))));
    (child, address, log)
}

/// Sends a signal to the process.
pub fn signal(child: &Child, signal: Signal) {
    kill_process(Pid::from_raw(child.id() as i32).expect("a valid pid"), signal).expect("the signal is sent");
}

/// Stops the process with SIGSTOP and waits until it has stopped.
#[allow(dead_code)]
pub fn freeze(child: &Child) {
    signal(child, Signal::STOP);
    let pid = Pid::from_raw(child.id() as i32).expect("a valid pid");
    let stopped = waitpid(Some(pid), WaitOptions::UNTRACED).expect("waitpid succeeds").expect("a status").1;
    assert!(stopped.stopped(), "{stopped:?}");
}

/// Continues a stopped process.
#[allow(dead_code)]
pub fn thaw(child: &Child) {
    signal(child, Signal::CONT);
}

/// Kills the process if it still runs, and removes its configuration file.
#[allow(dead_code)]
pub fn end(child: &mut Child, config: &Path) {
    if matches!(child.try_wait(), Ok(None)) {
        signal(child, Signal::KILL);
        let _ = child.wait();
    }
    let _ = std::fs::remove_file(config);
}
