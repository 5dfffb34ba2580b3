//! What the cases of the review share: processes of the project, workers, clients and the record.
//! Standard library only.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Milliseconds.
pub type Ms = u64;

/// The record of a case: lines with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Adds to the record file.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Ms {
        self.began.elapsed().as_millis() as Ms
    }

    /// Writes a line.
    pub fn put(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().expect("the record is not poisoned");
        let _ = writeln!(file, "{:>7} {}", self.began.elapsed().as_millis(), line.as_ref());
    }

    /// Sleeps until this time of the record.
    pub fn sleep_until(&self, at: Ms) {
        let now = self.now();
        if at > now {
            thread::sleep(Duration::from_millis(at - now));
        }
    }
}

/// A loopback address that is free for TCP and UDP, given out once. Below the ports that the system gives out by itself.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) + u64::from(std::process::id()) * 61;
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (number % 20_000) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// A new folder for temporary files; removed by [`Folder::drop`].
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates it.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("basaltward-review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }

    /// Writes a file and renames it into place.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let (path, new) = (self.0.join(name), self.0.join(format!("{name}.new")));
        fs::write(&new, text).expect("a file is written");
        fs::rename(&new, &path).expect("a file is renamed");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A process of the project; killed when it is dropped.
pub struct Process {
    command: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts it. Its output goes to the file `log`.
    pub fn start(command: &[&str], log: PathBuf) -> io::Result<Self> {
        let command = command.iter().map(|word| (*word).to_owned()).collect();
        let mut process = Self { command, log, child: None };
        process.restart()?;
        Ok(process)
    }

    /// Starts it again with the same command.
    pub fn restart(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if let Some(path) = std::env::var_os("REVIEW_PIDS") {
            let mut file = File::options().create(true).append(true).open(path)?;
            writeln!(file, "{}", child.id())?;
        }
        self.child = Some(child);
        Ok(())
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An HTTP message: first line, header fields in lower case, body.
pub struct Message {
    pub line: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// A header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Reads a message with a `Content-Length`; `None` at the end of the connection.
    pub fn read(input: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut fields = HashMap::new();
        loop {
            let mut field = String::new();
            if input.read_line(&mut field)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let field = field.trim_end();
            if field.is_empty() {
                break;
            }
            if let Some((name, value)) = field.split_once(':') {
                fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        let length = fields.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        input.read_exact(&mut body)?;
        Ok(Some(Self { line: line.trim_end().to_owned(), fields, body }))
    }
}

/// One run of an event at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Ms,
    pub worker: SocketAddr,
    pub event: String,
    pub attempt: String,
}

/// Stand-in workers by the worker protocol. They answer `miss` until a load was ordered, and run each call that comes.
pub struct Workers {
    record: Record,
    runs: Mutex<Vec<Run>>,
    loaded: Mutex<HashMap<(SocketAddr, String), u32>>,
    work: Mutex<Duration>,
    load: Duration,
}

impl Workers {
    /// Starts workers at these addresses, whose calls take `work` and whose loads take `load`.
    pub fn start(record: &Record, addresses: &[SocketAddr], work: Duration, load: Duration) -> Arc<Self> {
        let workers = Arc::new(Self {
            record: record.clone(),
            runs: Mutex::default(),
            loaded: Mutex::default(),
            work: Mutex::new(work),
            load,
        });
        for address in addresses.iter().copied() {
            let listener = TcpListener::bind(address).expect("the worker's port is free");
            let workers = workers.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let workers = workers.clone();
                    thread::spawn(move || workers.serve(address, stream));
                }
            });
        }
        workers
    }

    /// Changes how long calls take from now on.
    pub fn set_work(&self, work: Duration) {
        *self.work.lock().expect("not poisoned") = work;
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("not poisoned").clone()
    }

    fn serve(&self, worker: SocketAddr, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Ok(Some(request)) = Message::read(&mut input) {
            let answer = self.answer(worker, &request);
            if out.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, worker: SocketAddr, request: &Message) -> Vec<u8> {
        let mut words = request.line.split(' ');
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let name = path.strip_prefix("/functions/").unwrap_or_default();
        let (function, copies) = name.strip_suffix("/copies").map_or((name, false), |name| (name, true));
        let place = (worker, function.to_owned());
        match (method, copies) {
            ("GET", false) => {
                response(200, "ok", "basaltward-load: inflight=0, pinned=0.0, loads=0\r\n", b"")
            }
            ("GET", true) => {
                let count = self.loaded.lock().expect("not poisoned").get(&place).copied().unwrap_or(0);
                response(200, "ok", &format!("basaltward-copies: {count}\r\n"), b"")
            }
            ("PUT", true) => {
                let count = query.strip_prefix("count=").and_then(|text| text.parse().ok()).unwrap_or(1);
                let stand = self.loaded.lock().expect("not poisoned").get(&place).copied().unwrap_or(0);
                if stand < count {
                    self.record.put(format!("load of {count} of {function} ordered at {worker}"));
                    thread::sleep(self.load);
                }
                let mut loaded = self.loaded.lock().expect("not poisoned");
                let copies = loaded.entry(place).or_insert(0);
                *copies = count.max(*copies);
                response(200, "ok", &format!("basaltward-copies: {copies}\r\n"), b"")
            }
            ("DELETE", true) => {
                self.loaded.lock().expect("not poisoned").remove(&place);
                response(204, "ok", "", b"")
            }
            ("POST", false) => self.call(worker, place, request),
            _ => response(400, "error", "", b""),
        }
    }

    fn call(&self, worker: SocketAddr, place: (SocketAddr, String), request: &Message) -> Vec<u8> {
        let field = |name: &str| request.field(name).unwrap_or_default().to_owned();
        if self.loaded.lock().expect("not poisoned").get(&place).is_none_or(|count| *count == 0) {
            self.record.put(format!("missed {} at {worker}", field("ce-id")));
            return response(404, "miss", "", b"");
        }
        let event = format!("{}#{}", field("ce-source"), field("ce-id"));
        let attempt = field("basaltward-attempt");
        let at = self.record.now();
        self.record.put(format!("ran {event} at {worker} attempt {attempt}"));
        self.runs.lock().expect("not poisoned").push(Run { at, worker, event, attempt });
        let work = *self.work.lock().expect("not poisoned");
        thread::sleep(work);
        response(200, "ok", "basaltward-copy: stood\r\n", &request.body)
    }
}

fn response(status: u16, outcome: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let length = match status {
        204 => String::new(),
        _ => format!("content-length: {}\r\n", body.len()),
    };
    let mut text =
        format!("HTTP/1.1 {status} Answer\r\nbasaltward-outcome: {outcome}\r\n{fields}{length}\r\n")
            .into_bytes();
    text.extend_from_slice(body);
    text
}

/// A client's answer: status and body, or why there was none.
pub type Answer = Result<(u16, Message), String>;

/// Sends an event in binary mode and waits for the answer, at most `patience` and a second.
fn call(to: SocketAddr, function: &str, id: &str, patience: Ms, body: &[u8]) -> Answer {
    let run = || -> io::Result<Message> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_millis(1_000))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(patience + 1_000)))?;
        let mut out = stream.try_clone()?;
        let head = format!(
            "POST /functions/{function} HTTP/1.1\r\nhost: {to}\r\nce-specversion: 1.0\r\nce-id: {id}\r\n\
             ce-source: /review\r\nce-type: review.call\r\nce-timeoutms: {patience}\r\n\
             content-type: text/plain\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            body.len()
        );
        out.write_all(&[head.as_bytes(), body].concat())?;
        Message::read(&mut BufReader::new(stream))?.ok_or(io::ErrorKind::UnexpectedEof.into())
    };
    let message = run().map_err(|error| error.to_string())?;
    let status = message.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok((status, message))
}

/// How long a client waits before it sends an event again: what `Retry-After` says, and half a second at least.
pub fn pause_after(answer: &Answer) -> Duration {
    let told = answer.as_ref().ok().and_then(|(_, message)| message.field("retry-after")?.parse().ok());
    Duration::from_secs(told.unwrap_or(0)).max(Duration::from_millis(500))
}

/// Like [`call`], with its sending and its answer in the record.
pub fn recorded_call(record: &Record, to: SocketAddr, function: &str, id: &str, patience: Ms) -> Answer {
    record.put(format!("sent /review#{id} to {to} for {patience} ms"));
    let answer = call(to, function, id, patience, id.as_bytes());
    match &answer {
        Ok((status, message)) => {
            let body = String::from_utf8_lossy(&message.body).replace(['\r', '\n'], " ");
            record.put(format!("answered /review#{id} {status} {body}"));
        }
        Err(error) => record.put(format!("unanswered /review#{id}: {error}")),
    }
    answer
}

/// A gateway of a site: its address for clients and its process.
pub struct Gateway {
    pub front: SocketAddr,
    pub process: Process,
}

/// Gateways of several sites, and the settings they are started with.
pub struct SitesSpec<'a> {
    /// The site and the name of each gateway; gateways of a site stand together.
    pub gateways: &'a [(&'a str, &'a str)],
    /// Elements for the settings: the contents of `classes` and `functions`, and what follows them.
    pub classes: &'a str,
    pub functions: &'a str,
    pub further: &'a str,
    /// Further attributes of the element `sites`.
    pub attributes: &'a str,
    /// Addresses of the workers of each site, by the site's name.
    pub workers: &'a [(&'a str, Vec<SocketAddr>)],
}

impl SitesSpec<'_> {
    /// Starts the gateways.
    pub fn start(&self, program: &str, folder: &Folder) -> Vec<Gateway> {
        let addresses: Vec<[SocketAddr; 3]> =
            self.gateways.iter().map(|_| [free_address(), free_address(), free_address()]).collect();
        let mut gateways = Vec::new();
        for (number, (site, name)) in self.gateways.iter().enumerate() {
            let workers = self.workers.iter().filter(|(of, _)| of == site).flat_map(|(_, all)| all);
            let roster: String =
                workers.map(|address| format!("  <worker address=\"{address}\"/>\n")).collect();
            let roster = format!("<roster xmlns=\"urn:basaltward:roster:1\">\n{roster}</roster>\n");
            folder.write(&format!("{name}.roster.xml"), &roster);
            let settings = self.settings((number, site, name), &addresses);
            let path = folder.write(&format!("{name}.xml"), &settings);
            let log = folder.0.join(format!("{name}.log"));
            let path = path.to_string_lossy().into_owned();
            let command = [program, "serve", "--config", &path, "--log", "info"];
            let process = Process::start(&command, log).expect("the gateway starts");
            gateways.push(Gateway { front: addresses[number][0], process });
        }
        gateways
    }

    fn settings(&self, (number, site, name): (usize, &str, &str), addresses: &[[SocketAddr; 3]]) -> String {
        let [front, tell, journal] = addresses[number];
        let of_site = |site: &str| self.gateways.iter().filter(move |(of, _)| *of == site).count();
        let index = number - self.gateways.iter().position(|(of, _)| *of == site).unwrap_or(0);
        let (mut peers, mut last) = (String::new(), "");
        for ((of, peer), [front, tell, journal]) in self.gateways.iter().zip(addresses) {
            if *of != last {
                peers += if last.is_empty() { "" } else { "    </site>\n" };
                peers += &format!("    <site name=\"{of}\">\n");
                last = of;
            }
            peers += &format!(
                "      <peer name=\"{peer}\" tell=\"{tell}\" front=\"{front}\" journal=\"{journal}\"/>\n"
            );
        }
        format!(
            "<basaltward xmlns=\"urn:basaltward:config:1\">\n  \
             <gateway name=\"{name}\" index=\"{index}\" count=\"{}\"/>\n  <listen address=\"{front}\"/>\n  \
             <roster file=\"{name}.roster.xml\"/>\n  <kinds><kind name=\"std-4\" memory-mb=\"12096\"/></kinds>\n  \
             <classes>\n{}  </classes>\n  <functions>\n{}  </functions>\n{}  <sites fleet=\"cadastre\" \
             listen=\"{tell}\" journal-listen=\"{journal}\"{}>\n{peers}    </site>\n  </sites>\n</basaltward>\n",
            of_site(site),
            self.classes,
            self.functions,
            self.further,
            self.attributes
        )
    }
}

/// Numbers events.
static SEQUENCE: AtomicU64 = AtomicU64::new(1);

/// A new event id.
pub fn new_id(prefix: &str) -> String {
    format!("{prefix}-{}", SEQUENCE.fetch_add(1, Ordering::Relaxed))
}

/// Waits until calls of this function, sent to each gateway in turn, are served several times in a row for ids of every
/// owner; false if that takes longer than until `until`.
pub fn wait_until_served(record: &Record, gateways: &[Gateway], function: &str, until: Ms) -> bool {
    let mut in_a_row = 0;
    while record.now() < until {
        for gateway in gateways {
            let id = new_id("warm");
            let answer = recorded_call(record, gateway.front, function, &id, 2_000);
            in_a_row = if matches!(answer, Ok((200, _))) { in_a_row + 1 } else { 0 };
        }
        if in_a_row >= 30 {
            return true;
        }
        thread::sleep(Duration::from_millis(if in_a_row == 0 { 300 } else { 10 }));
    }
    false
}

/// Arguments of a case: its record and the program; and whether the disruption is left out (`TROUBLE` is `0`).
pub fn arguments() -> (PathBuf, String, bool) {
    let mut arguments = std::env::args().skip(1);
    let (Some(record), Some(program)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: CASE RECORD PROGRAM");
        std::process::exit(2);
    };
    (record.into(), program, std::env::var("TROUBLE").is_ok_and(|value| value == "0"))
}
