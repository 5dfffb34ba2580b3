//! Records, free ports, the clock of a run, and the processes that a case starts.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::Write;
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record of a run: one line for each thing seen, with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { began: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:>7} {text}", self.ms());
            let _ = file.flush();
        }
    }
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Ports that are free on 127.0.0.1 for TCP and UDP; each is given out once. They lie below those that systems usually
/// give to connections, so that none is taken before its process has started, and begin at another place for each
/// process, as cases may run side by side.
#[derive(Default)]
pub struct Ports(u16);

impl Ports {
    pub fn take(&mut self) -> std::io::Result<u16> {
        let first = 20_000 + (std::process::id() % 120) as u16 * 100;
        for _ in 0..1_000 {
            let port = first + self.0;
            self.0 += 1;
            if TcpListener::bind(("127.0.0.1", port)).is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok()
            {
                return Ok(port);
            }
        }
        Err(std::io::Error::other("no free port"))
    }
}

/// The processes that run now, for the end of a case that takes too long.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Ends all processes and this one, with exit code 2, once this time is over.
pub fn limit_time(record: &Record, ms: u64) {
    let record = record.clone();
    std::thread::spawn(move || {
        sleep_ms(ms);
        record.line("could not run: the case took too long");
        for pid in RUNNING.lock().iter().flat_map(|pids| pids.iter()) {
            let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {pid}")]).status();
        }
        std::process::exit(2);
    });
}

/// A process of the project, ended when dropped.
pub struct Process {
    child: Child,
    pub name: String,
    record: Record,
}

impl Process {
    pub fn spawn(
        record: &Record,
        name: &str,
        program: &Path,
        args: &[&str],
        env: &[(&str, String)],
        log: &Path,
    ) -> std::io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.args(args).envs(env.iter().map(|(k, v)| (*k, v.as_str())));
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        record.line(&format!("start {name} pid {}", child.id()));
        RUNNING.lock().iter_mut().for_each(|pids| _ = pids.insert(child.id()));
        Ok(Self { child, name: name.into(), record: record.clone() })
    }

    /// Sends a signal by its name with the `kill` of the shell.
    pub fn signal(&self, signal: &str) {
        self.record.line(&format!("signal {signal} {}", self.name));
        let command = format!("kill -{signal} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &command]).status();
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.is_running() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
        RUNNING.lock().iter_mut().for_each(|pids| _ = pids.remove(&self.child.id()));
    }
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> std::io::Result<Self> {
        let nanos = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let nanos = nanos.map_or(0, |d| d.as_nanos());
        let path = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
