//! The live scheduler as a process of its own.
use rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver};

pub fn program(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basaltward"));
    command.args(["node", "--log", "info"]).env("NODE_CONFIG", config).env_remove("NODE_LISTEN");
    command.stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

pub fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("basaltward-program-{name}-{}.json", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

/// Starts it and reads where it listens out of its first log line; the rest is read away.
#[allow(dead_code)]
pub fn start(config: &Path) -> (Child, SocketAddr) {
    let (child, address, _) = start_heard(config);
    (child, address)
}

/// As [`start`]; gives the further log lines as they come.
pub fn start_heard(config: &Path) -> (Child, SocketAddr, Receiver<String>) {
    let mut child = program(config).spawn().expect("started");
    let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
    let line = lines.next().expect("a line").expect("text");
    let address = line.rsplit_once("address=").expect("it says where").1.parse().expect("an address");
    let (heard, hears) = mpsc::channel();
    std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| drop(heard.send(line))));
    (child, address, hears)
}

pub fn signal(child: &Child, signal: Signal) {
    kill_process(Pid::from_raw(child.id() as i32).expect("a process"), signal).expect("signalled");
}

/// Stops the process where it is; it has stopped once this returns.
#[allow(dead_code)]
pub fn freeze(child: &Child) {
    signal(child, Signal::STOP);
    let pid = Pid::from_raw(child.id() as i32).expect("a process");
    let stopped = waitpid(Some(pid), WaitOptions::UNTRACED).expect("it runs").expect("waited for").1;
    assert!(stopped.stopped(), "{stopped:?}");
}

/// Lets it go on.
#[allow(dead_code)]
pub fn thaw(child: &Child) {
    signal(child, Signal::CONT);
}

/// Ends the process where it still runs, and removes its configuration.
#[allow(dead_code)]
pub fn end(child: &mut Child, config: &Path) {
    if matches!(child.try_wait(), Ok(None)) {
        signal(child, Signal::KILL);
        let _ = child.wait();
    }
    let _ = std::fs::remove_file(config);
}
