//! Schedulers as processes on the platform's protocol: a bulletin, line workers and Thrift clients.

use crate::util::{Folder, Ports, Process, Record, sleep_ms};
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The bulletin as one scheduler reaches it.
struct Board {
    port: u16,
    down: Arc<AtomicBool>,
}

/// The bulletin: numbered events, told to every scheduler over an address of its own.
pub struct Bulletin {
    events: Arc<Mutex<Vec<String>>>,
    boards: Vec<Board>,
}

impl Bulletin {
    /// `first` is the event with the whole list.
    pub fn start(schedulers: usize, first: String) -> std::io::Result<Self> {
        let events = Arc::new(Mutex::new(vec![first]));
        let boards: std::io::Result<Vec<_>> = (0..schedulers)
            .map(|_| {
                let listener = TcpListener::bind("127.0.0.1:0")?;
                let port = listener.local_addr()?.port();
                let down = Arc::new(AtomicBool::new(false));
                let (events, is_down) = (events.clone(), down.clone());
                std::thread::spawn(move || {
                    for stream in listener.incoming().flatten() {
                        let (events, is_down) = (events.clone(), is_down.clone());
                        std::thread::spawn(move || follow(stream, &events, &is_down));
                    }
                });
                Ok(Board { port, down })
            })
            .collect();
        Ok(Self { events, boards: boards? })
    }

    /// Adds an event; `text` makes its line from its number.
    pub fn tell(&self, text: impl FnOnce(usize) -> String) {
        if let Ok(mut events) = self.events.lock() {
            let number = events.len() + 1;
            events.push(text(number));
        }
    }

    /// Whether it is out of reach for a scheduler: connections end, and new ones end at once.
    pub fn set_down(&self, scheduler: usize, down: bool) {
        self.boards[scheduler].down.store(down, Ordering::SeqCst);
    }
}

fn follow(stream: TcpStream, events: &Mutex<Vec<String>>, down: &AtomicBool) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut line = String::new();
    if down.load(Ordering::SeqCst) || BufReader::new(stream).read_line(&mut line).is_err() {
        return;
    }
    let Some(mut told) = line.trim().strip_prefix("after ").and_then(|n| n.parse::<usize>().ok()) else {
        return;
    };
    for turn in 0.. {
        if down.load(Ordering::SeqCst) {
            return;
        }
        let all = events.lock().map(|e| e.clone()).unwrap_or_default();
        let mut text: String = all.iter().skip(told).map(|event| format!("{event}\n")).collect();
        told = told.max(all.len());
        if turn % 50 == 0 {
            text += &format!("{told}\n");
        }
        if !text.is_empty() && writer.write_all(text.as_bytes()).is_err() {
            return;
        }
        sleep_ms(20);
    }
}

/// A line worker; its threads end with the process.
#[derive(Clone)]
pub struct LineWorker {
    pub name: String,
    pub port: u16,
    /// When calls began here, with their ids.
    pub begun: Arc<Mutex<Vec<(u64, String)>>>,
}

impl LineWorker {
    pub fn start(record: &Record, name: &str, work_ms: u64, quiet: bool) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Self { name: name.into(), port: listener.local_addr()?.port(), begun: Arc::default() };
        let (own, record) = (worker.clone(), record.clone());
        let loaded = Arc::new(Mutex::new(HashSet::new()));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, record, loaded) = (own.clone(), record.clone(), loaded.clone());
                std::thread::spawn(move || lines(&own, &record, &loaded, stream, work_ms, quiet));
            }
        });
        Ok(worker)
    }
}

fn lines(
    worker: &LineWorker,
    record: &Record,
    loaded: &Mutex<HashSet<String>>,
    stream: TcpStream,
    work_ms: u64,
    quiet: bool,
) {
    let _ = stream.set_nodelay(true);
    let Ok(writer) = stream.try_clone() else { return };
    let writer = Arc::new(Mutex::new(writer));
    let answer = |text: String| writer.lock().is_ok_and(|mut w| w.write_all(text.as_bytes()).is_ok());
    let field = |fields: &str, name: &str| {
        let pair = fields.split(',').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
        pair.unwrap_or_default().to_owned()
    };
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(n) if n > 0) {
            return;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["exec", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                let at = record.ms();
                worker.begun.lock().iter_mut().for_each(|begun| begun.push((at, id.to_owned())));
                if !quiet {
                    record.line(&format!("{} begins {id}", worker.name));
                }
                let stood = loaded.lock().is_ok_and(|mut l| !l.insert(field(fields, "path")));
                let (writer, id) = (writer.clone(), id.to_owned());
                std::thread::spawn(move || {
                    sleep_ms(work_ms);
                    let detail = if stood { "up" } else { "fresh" };
                    let text = format!("{id} OK detail={detail} 4\r\ndone\r\n");
                    let _ = writer.lock().map(|mut w| w.write_all(text.as_bytes()));
                });
            }
            ["ensure", tag, fields] => {
                let (path, count) = (field(fields, "path"), field(fields, "slots_up"));
                let count: u32 = count.parse().unwrap_or(0);
                let stands = loaded.lock().is_ok_and(|mut l| {
                    if count > 0 {
                        l.insert(path.clone());
                    }
                    l.contains(&path)
                });
                if count > 0 && !quiet {
                    record.line(&format!("{} is told to load {path} by {tag}", worker.name));
                }
                let slots = if stands { count.max(1) } else { 0 };
                if !answer(format!("{tag} OK slots_up={slots} 0\r\n\r\n")) {
                    return;
                }
            }
            ["health" | "load", tag] => {
                if !answer(format!("{tag} UP - 0\r\n\r\n")) {
                    return;
                }
            }
            _ => {}
        }
    }
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    Refused,
    Failed,
    None,
}

/// A client's connection to a scheduler, with one call at a time.
pub struct Client {
    stream: TcpStream,
    sequence: i32,
}

fn put_text(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as i32).to_be_bytes());
    out.extend(text);
}

impl Client {
    pub fn connect(port: u16) -> Option<Self> {
        let stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Self { stream, sequence: 0 })
    }

    fn exchange(&mut self, method: &str, arguments: &[u8], wait_ms: u64) -> Option<Vec<u8>> {
        self.sequence += 1;
        let mut message = 0x8001_0001u32.to_be_bytes().to_vec();
        put_text(&mut message, method.as_bytes());
        message.extend(self.sequence.to_be_bytes());
        message.extend(arguments);
        let mut frame = (message.len() as i32).to_be_bytes().to_vec();
        frame.extend(message);
        self.stream.write_all(&frame).ok()?;
        self.stream.set_read_timeout(Some(Duration::from_millis(wait_ms))).ok()?;
        let mut length = [0; 4];
        self.stream.read_exact(&mut length).ok()?;
        let mut answer = vec![0; u32::from_be_bytes(length).min(1 << 20) as usize];
        self.stream.read_exact(&mut answer).ok()?;
        Some(answer)
    }

    /// Whether the scheduler says that it is ready.
    pub fn heartbeat(&mut self) -> bool {
        self.exchange("heartbeat", &[2, 0, 1, 0, 0], 1_000).is_some()
    }

    pub fn call(&mut self, kind: &str, id: &str, subject: &str, timeout_ms: u64) -> Answer {
        let timeout = timeout_ms.to_string();
        let fields = [
            ("kind", kind),
            ("req", id),
            ("timeout", &timeout),
            ("subject", subject),
            ("props", "memory_mb:200;lanes:8;load_ms:200"),
        ];
        let mut arguments = vec![13, 0, 1, 11, 11];
        arguments.extend((fields.len() as i32).to_be_bytes());
        for (name, value) in fields {
            put_text(&mut arguments, name.as_bytes());
            put_text(&mut arguments, value.as_bytes());
        }
        arguments.extend([11, 0, 2]);
        put_text(&mut arguments, b"data");
        arguments.push(0);
        let Some(answer) = self.exchange("submit", &arguments, timeout_ms + 500) else { return Answer::None };
        // Version and kind of message, name, number, then the field of the result.
        let result = 4 + 4 + "submit".len() + 4;
        match (answer.get(3), answer.get(result + 2)) {
            (Some(2), Some(0)) => Answer::Served,
            (Some(2), Some(1)) => Answer::Refused,
            _ => Answer::Failed,
        }
    }
}

/// One worker in the bulletin's words.
pub fn target(worker: &LineWorker, state: &str, boot_ms: u64) -> String {
    format!(
        "{{\"uid\":\"{}\",\"endpoint\":\"127.0.0.1:{}\",\"az\":\"east\",\"model\":\"std\",\"pod_group\":1,\
         \"state\":\"{state}\",\"capacity_hint\":4,\"boot_ms\":{boot_ms}}}",
        worker.name, worker.port
    )
}

/// An event of the bulletin.
pub fn event(number: usize, all: bool, targets: &[String]) -> String {
    format!(
        "{{\"no\":{number},\"roster\":{{\"rev\":{number},\"all\":{all},\"targets\":[{}]}}}}",
        targets.join(",")
    )
}

/// Schedulers with a fleet's view and permits, on one bulletin.
pub struct Fleet {
    pub record: Record,
    pub folder: Folder,
    pub program: PathBuf,
    pub bulletin: Bulletin,
    pub listens: Vec<u16>,
    pub peers: Vec<u16>,
    pub schedulers: Vec<Option<Process>>,
}

impl Fleet {
    pub fn start(
        record: &Record,
        program: &Path,
        schedulers: usize,
        workers: usize,
    ) -> std::io::Result<Self> {
        let (folder, mut ports) = (Folder::create()?, Ports::default());
        let workers: std::io::Result<Vec<_>> =
            (0..workers).map(|w| LineWorker::start(record, &format!("w{w}"), 20, true)).collect();
        let workers = workers?;
        let targets: Vec<String> = workers.iter().map(|w| target(w, "Ready", 0)).collect();
        let first = event(1, true, &targets);
        let bulletin = Bulletin::start(schedulers, first.clone())?;
        let mut take = || (0..schedulers).map(|_| ports.take()).collect::<std::io::Result<Vec<u16>>>();
        let (listens, peers) = (take()?, take()?);
        let addresses: Vec<String> = peers.iter().map(|p| format!("\"127.0.0.1:{p}\"")).collect();
        for i in 0..schedulers {
            let text = format!(
                "{{\"name\":\"n{i}\",\"listen\":\"127.0.0.1:{}\",\"seed\":\"{:x}\",\
                 \"limits\":{{\"cores\":1.0,\"memory_mb\":64,\"sockets\":512}},\
                 \"peer_listen\":\"127.0.0.1:{}\",\"peers\":[{}],\
                 \"fleet\":{{\"view\":true,\"name\":\"review\",\"operators\":[\"127.0.0.1\"],\
                 \"permits\":{{\"version\":\"a\",\"bounds\":{{\"workers\":{{\"number\":2}},\
                 \"workers_of_zone\":{{\"number\":2}}}}}}}},\
                 \"bulletin\":\"127.0.0.1:{}\",\"known\":{{\"no\":1,\"items\":[{first}]}},\
                 \"settings\":{{\"dcs\":[\"east\"],\"models\":[\"std\"],\"discovery\":\"push\",\
                 \"familyInfo\":{{\"loadControl\":true,\"machineMb\":[8000.0],\"missMode\":\"load\",\
                 \"orderLimitUs\":4000000,\"staysLoadedUs\":10000000,\"saysCompany\":true,\"warmNotes\":true}},\
                 \"limits\":{{\"cancel\":true,\"connectTimeoutUs\":250000,\"idleCloseUs\":30000000,\
                 \"maxRetryAfterUs\":1000000,\"retryAfter\":true,\"secondCopies\":false,\"sendCap\":5,\
                 \"streamsPerConn\":32,\"probes\":true}},\
                 \"replicasOfMe\":{schedulers},\"selfIndex\":{i},\"report\":{{\"names\":[]}},\"roundUs\":1000,\
                 \"requestClasses\":[{{\"name\":\"view\",\"deadlineUs\":3000000,\"onTimeUs\":1000000,\
                 \"repeat\":\"safe\"}}],\
                 \"rules\":{{\"answerSlackUs\":5000,\"coldFrom\":0.2,\"drainGraceUs\":1000000,\
                 \"fallUs\":1500000,\"tipMultiple\":4.0,\"warmWithinUs\":16000000}}}}}}",
                listens[i],
                0x51 + i,
                peers[i],
                addresses.join(","),
                bulletin.boards[i].port
            );
            std::fs::write(folder.0.join(format!("n{i}.json")), text)?;
        }
        let none = (0..schedulers).map(|_| None).collect();
        let mut fleet = Self {
            record: record.clone(),
            folder,
            program: program.into(),
            bulletin,
            listens,
            peers,
            schedulers: none,
        };
        for i in 0..schedulers {
            fleet.start_scheduler(i)?;
        }
        Ok(fleet)
    }

    pub fn start_scheduler(&mut self, i: usize) -> std::io::Result<()> {
        let config = self.folder.0.join(format!("n{i}.json")).to_string_lossy().into_owned();
        let env = [("NODE_CONFIG", config), ("NODE_LISTEN", format!("127.0.0.1:{}", self.listens[i]))];
        let (name, log) = (format!("n{i}"), self.folder.0.join(format!("n{i}.log")));
        let args = ["--log", "info", "node"];
        self.schedulers[i] = Some(Process::spawn(&self.record, &name, &self.program, &args, &env, &log)?);
        for _ in 0..200 {
            if Client::connect(self.listens[i]).is_some_and(|mut client| client.heartbeat()) {
                return Ok(());
            }
            sleep_ms(50);
        }
        Err(std::io::Error::other("a scheduler did not become ready"))
    }

    /// Runs a command of the operators; its exit code and what it printed.
    pub fn command(&self, words: &[&str], of: usize) -> (i32, String) {
        let of = format!("127.0.0.1:{}", self.peers[of]);
        let output = std::process::Command::new(&self.program)
            .arg("fleet")
            .args(words)
            .args(["--of", &of])
            .stdin(std::process::Stdio::null())
            .output();
        let (code, text) = match output {
            Ok(o) => (o.status.code().unwrap_or(-1), [o.stdout, o.stderr].concat()),
            Err(_) => (-1, Vec::new()),
        };
        (code, String::from_utf8_lossy(&text).trim().replace('\n', "; "))
    }

    /// Clients that call a scheduler all the time; the first two digits of an id are the scheduler's number.
    pub fn call_all_the_time(&self, i: usize, pause_ms: u64, served: &Arc<AtomicU64>) {
        let (port, served) = (self.listens[i], served.clone());
        std::thread::spawn(move || {
            let mut client = None;
            for n in 0u64.. {
                let subject = format!("{:016x}", 0xf000 + n % 6);
                let id = format!("{i:02x}{n:014x}");
                let answer = match client.as_mut() {
                    Some(c) => Client::call(c, "view", &id, &subject, 2_500),
                    None => Answer::None,
                };
                if answer == Answer::Served {
                    served.fetch_add(1, Ordering::Relaxed);
                }
                if answer == Answer::None {
                    client = Client::connect(port);
                }
                sleep_ms(pause_ms);
            }
        });
    }
}
