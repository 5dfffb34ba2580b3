//! The bed: a fleet of processes with its stand-ins, its relays and its records.

use crate::Loss;
use crate::clients::{ClientSpec, Clients};
use crate::process::{Process, ProcessError};
use crate::relay::{Laying, Relay};
use crate::way::{Party, Stream, Way};
use basaltward_agreed::Bounds;
use basaltward_fellows::ask_view;
use basaltward_fleet::Answer;
use basaltward_net::{Micros, NetError, monotonic};
use basaltward_rules::{Record, Recorder, What, read};
use basaltward_standins::{Act, Board, Exec, LineWorker};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use thiserror::Error;

/// Why a bed can't be made or used.
#[derive(Debug, Error)]
pub enum TrialError {
    /// A file, a folder or a socket can't be had.
    #[error("system: {0}")]
    System(#[from] std::io::Error),
    /// The relays.
    #[error("relays: {0}")]
    Relay(#[from] NetError),
    /// A scheduler's process.
    #[error("{0}")]
    Process(#[from] ProcessError),
}

/// A fleet.
#[derive(Clone, Debug)]
pub struct BedSpec {
    /// The program.
    pub program: PathBuf,
    /// Schedulers, at most 200.
    pub schedulers: usize,
    /// Workers.
    pub workers: usize,
    /// How long a call runs, in milliseconds.
    pub work_ms: u64,
    /// Pause of a client between an answer and its next call, in milliseconds.
    pub pause_ms: u64,
    /// How many may be out at once, where the fleet is to agree on that.
    pub bounds: Option<Bounds>,
    /// Every random choice follows from it.
    pub seed: u64,
}

/// Classes with their patience in milliseconds, and whether they may run twice.
pub(crate) const CLASSES: [(&str, u64, &str); 2] = [("view", 3_000, "safe"), ("extract", 3_000, "unsafe")];
/// Functions that clients ask for.
const FUNCTIONS: u64 = 20;

static BEDS: AtomicU64 = AtomicU64::new(0);

/// A running fleet. What it started ends with it.
pub struct Bed {
    /// What it was made by.
    pub spec: BedSpec,
    /// The schedulers, by number.
    pub schedulers: Vec<Process>,
    /// Where each listens.
    pub listens: Vec<SocketAddr>,
    /// Where each takes datagrams.
    pub peers: Vec<SocketAddr>,
    /// The relays on all ways.
    pub relay: Relay,
    /// The bulletin.
    pub board: Board,
    /// The workers, by number.
    pub workers: Vec<LineWorker>,
    /// What clients and workers saw.
    pub recorder: Recorder,
    /// What becomes of datagrams where no other fault is on their way.
    usual: Loss,
    /// Where each reaches the others, by number.
    mesh: Vec<Vec<SocketAddr>>,
    /// When it began.
    pub began: Micros,
    /// Faults put on ways, with their time.
    pub faults: Vec<(Micros, Way, String)>,
    /// Bytes that crossed a way while it was cut.
    pub leaks: Vec<(Way, u64)>,
    /// Bytes on each cut way as it was cut.
    before: BTreeMap<Way, u64>,
    clients: Option<Clients>,
    reached: Vec<SocketAddr>,
    folder: PathBuf,
}

/// A free port at an address that nobody else uses.
fn reserve(ip: IpAddr) -> std::io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

fn name(number: usize) -> String {
    Party::Scheduler(number).to_string()
}

impl Bed {
    /// Starts all of it, and waits until every scheduler serves.
    ///
    /// # Errors
    /// Where a part can't be had or a scheduler does not come up.
    pub fn start(spec: BedSpec) -> Result<Self, TrialError> {
        let work = Duration::from_millis(spec.work_ms);
        Self::start_as(spec, move |exec| {
            let mut acts = vec![Act::Wait(work)];
            acts.extend(exec.serve());
            acts
        })
    }

    /// As [`Bed::start`], with workers that do with each call what this says.
    ///
    /// # Errors
    /// As [`Bed::start`].
    pub fn start_as(
        spec: BedSpec,
        script: impl Fn(&Exec) -> Vec<Act> + Clone + Send + Sync + 'static,
    ) -> Result<Self, TrialError> {
        let number = BEDS.fetch_add(1, Ordering::SeqCst);
        let unique = format!("basaltward-trial-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir(&folder)?;
        let (a, b) = (64 + (std::process::id() % 160) as u8, (number % 250) as u8);
        let ip = move |i: usize| IpAddr::V4(Ipv4Addr::new(127, a, b, 10 + i as u8));
        let who = move |from: SocketAddr| match from.ip() {
            IpAddr::V4(v4) => name(usize::from(v4.octets()[3]).wrapping_sub(10)),
            IpAddr::V6(_) => String::new(),
        };
        let recorder = Recorder::memory();
        let worker = |i: usize| {
            let script = script.clone();
            LineWorker::start_for(&Party::Worker(i).to_string(), recorder.clone(), who, script)
        };
        let workers = (0..spec.workers).map(worker).collect::<Result<Vec<_>, _>>()?;
        let board = Board::start(2)?;
        let all = 0..spec.schedulers;
        let listens = all.clone().map(|i| reserve(ip(i))).collect::<Result<Vec<_>, _>>()?;
        let peers = all.clone().map(|i| reserve(ip(i))).collect::<Result<Vec<_>, _>>()?;
        let mut laying = Laying::new()?;
        let mesh = laying.mesh(&peers)?;
        let (mut schedulers, mut reached) = (Vec::new(), Vec::new());
        for i in all {
            let from = Party::Scheduler(i);
            let to = |to| Way { from, to };
            let bulletin = laying.route(to(Party::Bulletin), board.address(), None)?;
            let mut targets = Vec::new();
            for (w, worker) in workers.iter().enumerate() {
                let at = laying.route(to(Party::Worker(w)), worker.address(), Some(ip(i)))?;
                targets.push(target(&Party::Worker(w).to_string(), at, "Ready"));
            }
            reached.push(laying.route(Way { from: Party::Clients, to: from }, listens[i], None)?);
            let config = folder.join(format!("n{i}.json"));
            let told = configuration(&spec, i, (listens[i], peers[i], bulletin), &mesh[i], &targets);
            std::fs::write(&config, told.to_string())?;
            let records = folder.join(format!("n{i}.records"));
            schedulers.push(Process::scheduler(&name(i), &spec.program, &config, &records));
        }
        let relay = laying.start(spec.seed)?;
        let (began, faults, clients) = (monotonic(), Vec::new(), None);
        let (leaks, before) = (Vec::new(), BTreeMap::new());
        let mut bed = Self {
            spec,
            schedulers,
            listens,
            peers,
            relay,
            board,
            workers,
            recorder,
            usual: Loss::default(),
            mesh,
            began,
            faults,
            leaks,
            before,
            clients,
            reached,
            folder,
        };
        for i in 0..bed.schedulers.len() {
            bed.up(i)?;
        }
        Ok(bed)
    }

    fn put(&self, i: usize, what: What) {
        self.recorder.put(monotonic(), &name(i), what);
    }

    /// Starts a scheduler that is down, under its name and address.
    ///
    /// # Errors
    /// Where it does not come up.
    pub fn up(&mut self, i: usize) -> Result<(), TrialError> {
        Ok(self.schedulers[i].start()?)
    }

    /// Kills a scheduler outright.
    pub fn kill(&mut self, i: usize) {
        self.schedulers[i].kill();
        // It could not say so itself.
        self.put(i, What::Down { killed: true });
    }

    /// Sends SIGTERM to a scheduler and waits for its end.
    ///
    /// # Errors
    /// Where it does not end.
    pub fn stop(&mut self, i: usize) -> Result<(), TrialError> {
        self.schedulers[i].stop();
        Ok(self.schedulers[i].join()?)
    }

    /// The list of members has this many from now on: the files of those in it are written anew. Each hears of it
    /// by [`Process::reread`] or its next start.
    ///
    /// # Errors
    /// Where a file can't be read or written.
    pub fn list(&self, size: usize) -> Result<(), TrialError> {
        for (i, mesh) in self.mesh.iter().enumerate().take(size) {
            let peers = mesh.iter().take(size).map(ToString::to_string).collect();
            self.rewrite(i, |told| told["peers"] = peers)?;
        }
        Ok(())
    }

    /// A scheduler's configuration is of this version from its next start on.
    ///
    /// # Errors
    /// Where the file can't be read or written.
    pub fn version(&self, i: usize, name: &str) -> Result<(), TrialError> {
        self.rewrite(i, |told| told["fleet"]["agreed"]["version"] = name.into())
    }

    fn rewrite(&self, i: usize, change: impl FnOnce(&mut serde_json::Value)) -> Result<(), TrialError> {
        let path = self.folder.join(format!("n{i}.json"));
        let text = std::fs::read_to_string(&path)?;
        let mut told: serde_json::Value = serde_json::from_str(&text).map_err(std::io::Error::from)?;
        change(&mut told);
        let fresh = path.with_extension("new");
        std::fs::write(&fresh, told.to_string())?;
        Ok(std::fs::rename(&fresh, &path)?)
    }

    /// Clients begin to call every scheduler.
    pub fn call(&mut self) {
        let classes = CLASSES.iter().map(|(name, patience, _)| ((*name).to_owned(), *patience)).collect();
        let pause = Duration::from_millis(self.spec.pause_ms);
        let spec = ClientSpec { classes, functions: FUNCTIONS, pause };
        let to: Vec<_> = self.reached.iter().copied().zip(self.listens.iter().copied()).collect();
        self.clients = Some(Clients::start(&spec, &self.recorder, &to));
    }

    /// What becomes of the connections of a way from now on.
    pub fn stream(&mut self, way: Way, stream: Stream) {
        let carried = |bed: &Self| bed.relay.counts().get(&way).map_or(0, |c| c.bytes.0 + c.bytes.1);
        // Before the way is taken up again: what waits at the relay crosses it then.
        if let Some(before) = self.before.remove(&way) {
            let leaked = carried(self) - before;
            self.leaks.extend((leaked > 0).then_some((way, leaked)));
        }
        self.relay.stream(way, stream);
        if stream != Stream::Pass {
            self.before.insert(way, carried(self));
        }
        self.faults.push((monotonic(), way, format!("{stream:?}").to_lowercase()));
    }

    /// What becomes of the datagrams of a way from now on.
    pub fn loss(&mut self, way: Way, loss: Loss) {
        self.relay.loss(way, loss);
        let text = format!("lost {:.2}, doubled {:.2}", loss.lost, loss.doubled);
        self.faults.push((monotonic(), way, text));
    }

    /// What becomes of all datagrams from now on, and of those of a way that is taken up again.
    pub fn loss_of_all(&mut self, loss: Loss) {
        self.usual = loss;
        let all = 0..self.schedulers.len();
        for (from, to) in all.clone().flat_map(|i| all.clone().map(move |j| (i, j))) {
            if from != to {
                self.loss(Way { from: Party::Scheduler(from), to: Party::Scheduler(to) }, loss);
            }
        }
    }

    /// Cuts a group of schedulers off from all others, from workers, bulletin and clients, or takes it up again.
    /// Connections stay open and silent, as when a zone is cut.
    pub fn cut(&mut self, group: &[usize], cut: bool) {
        let (stream, loss) = match cut {
            true => (Stream::Stall, Loss { lost: 1.0, ..self.usual }),
            false => (Stream::Pass, self.usual),
        };
        for &i in group {
            let own = Party::Scheduler(i);
            self.stream(Way { from: Party::Clients, to: own }, stream);
            self.stream(Way { from: own, to: Party::Bulletin }, stream);
            for w in 0..self.workers.len() {
                self.stream(Way { from: own, to: Party::Worker(w) }, stream);
            }
            for j in (0..self.schedulers.len()).filter(|j| !group.contains(j)) {
                let other = Party::Scheduler(j);
                for way in [Way { from: own, to: other }, Way { from: other, to: own }] {
                    self.loss(way, loss);
                }
            }
        }
    }

    /// Where a scheduler reaches another with its datagrams.
    pub fn reach(&self, from: usize, to: usize) -> SocketAddr {
        self.mesh[from][to]
    }

    /// What a scheduler believes of the fleet, asked as an operator asks.
    ///
    /// # Errors
    /// Where it does not answer.
    pub fn view(&self, i: usize) -> Result<Answer, TrialError> {
        Ok(ask_view(self.peers[i])?)
    }

    /// Schedulers whose process runs and is not stalled.
    pub fn running(&self) -> Vec<usize> {
        (0..self.schedulers.len()).filter(|i| self.schedulers[*i].runs()).collect()
    }

    /// Whether all of a group hold the same view, and in it those of the group that run, and no others, are live.
    pub fn agrees(&self, group: &[usize]) -> bool {
        let up: Vec<_> = self.running().into_iter().filter(|i| group.contains(i)).collect();
        let views: Vec<_> = up.iter().filter_map(|i| self.view(*i).ok()).collect();
        let live = |view: &Answer| -> Vec<usize> {
            let all = view.entries.iter().enumerate();
            all.filter(|(_, seen)| seen.state.is_live()).map(|(i, _)| i).collect()
        };
        views.len() == up.len() && views.iter().all(|view| view.digest == views[0].digest && live(view) == up)
    }

    /// Waits until [`Bed::agrees`]; how long that took, or nothing where it does not within this time.
    pub fn agreement(&self, group: &[usize], within: Duration) -> Option<Duration> {
        let began = std::time::Instant::now();
        while began.elapsed() < within {
            if self.agrees(group) {
                return Some(began.elapsed());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// A number drawn below `below`, the same for the same seed and step.
    pub fn draw(seed: u64, step: u64, below: usize) -> usize {
        StdRng::seed_from_u64(seed ^ step << 32).random_range(0..below.max(1))
    }

    /// Clients stop, schedulers are stopped, and all records are taken, by time.
    ///
    /// # Errors
    /// Where a scheduler does not end or records can't be read.
    pub fn finish(&mut self) -> Result<Vec<Record>, TrialError> {
        if let Some(clients) = &mut self.clients {
            clients.stop();
        }
        for process in &mut self.schedulers {
            process.resume();
            if !process.crashed() {
                process.stop();
            }
        }
        for process in &mut self.schedulers {
            process.join()?;
        }
        let mut records = self.recorder.take();
        for i in 0..self.schedulers.len() {
            let path = self.folder.join(format!("n{i}.records"));
            if path.exists() {
                records.extend(whole(&path)?);
            }
        }
        records.sort_by_key(|record| record.t);
        Ok(records)
    }
}

/// The records of a file whose last line may be torn: its writer was killed.
fn whole(path: &Path) -> std::io::Result<Vec<Record>> {
    let text = std::fs::read_to_string(path)?;
    let torn = |line: &&str| serde_json::from_str::<Record>(line).is_err();
    if text.lines().any(|line| torn(&line)) {
        // A start after the tear goes on in the same line.
        let good: Vec<_> = text.lines().filter(|line| !torn(line)).collect();
        std::fs::write(path, good.join("\n"))?;
    }
    read(path)
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.clients = None;
        self.schedulers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// One entry of the bulletin.
fn target(uid: &str, at: SocketAddr, state: &str) -> serde_json::Value {
    json!({"uid": uid, "endpoint": at.to_string(), "az": "east", "model": "std", "pod_group": 0,
        "state": state, "capacity_hint": 1, "boot_ms": 0})
}

fn configuration(
    spec: &BedSpec,
    number: usize,
    (listen, peer_listen, bulletin): (SocketAddr, SocketAddr, SocketAddr),
    peers: &[SocketAddr],
    targets: &[serde_json::Value],
) -> serde_json::Value {
    let text = |address: &SocketAddr| address.to_string();
    let class = |(name, patience, repeat): &(&str, u64, &str)| json!({"name": name, "deadlineUs": patience * 1_000, "onTimeUs": 1_000_000, "repeat": repeat});
    let mut fleet = json!({"view": true, "name": "trial", "operators": ["127.0.0.1"]});
    if let Some(bounds) = spec.bounds {
        fleet["agreed"] = json!({"bounds": bounds});
    }
    json!({
        "name": name(number), "listen": text(&listen), "seed": format!("{:x}", spec.seed),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "peer_listen": text(&peer_listen), "peers": peers.iter().map(text).collect::<Vec<_>>(),
        "fleet": fleet,
        "bulletin": text(&bulletin),
        "known": {"no": 1, "items": [{"no": 1, "roster": {"rev": 1, "all": true, "targets": targets}}]},
        "settings": {
            "dcs": ["east"], "models": ["std"], "discovery": "push",
            "familyInfo": {"loadControl": true, "machineMb": [8000.0], "missMode": "load",
                "orderLimitUs": 4_000_000, "staysLoadedUs": 10_000_000},
            "limits": {"cancel": true, "connectTimeoutUs": 250_000, "idleCloseUs": 30_000_000,
                "maxRetryAfterUs": 1_000_000, "retryAfter": true, "secondCopies": false, "sendCap": 5,
                "streamsPerConn": 32},
            "replicasOfMe": spec.schedulers, "selfIndex": number, "report": {"names": ["backlog"]},
            "roundUs": 1_000, "requestClasses": CLASSES.iter().map(class).collect::<Vec<_>>(),
            "rules": {"answerSlackUs": 5_000, "coldFrom": 0.2, "fallUs": 1_500_000, "tipMultiple": 4.0,
                "warmWithinUs": 16_000_000},
        },
    })
}
