//! The bed: a fleet of processes with its stand-ins, its relays and its records.

use crate::Loss;
use crate::clients::{ClientSpec, Clients};
use crate::process::{Process, ProcessError};
use crate::relay::Laying;
use crate::way::{Party, Stream, Way};
use crate::ways::Ways;
use crate::workspace::{Workspace, party, whole};
use basaltward_config::ConfigError;
use basaltward_fakes::{ExecRequest, FakeBulletin, LineWorker, WorkerAction};
use basaltward_membership::StatusResponse;
use basaltward_net::{Micros, NetError, monotonic};
use basaltward_peers::fetch_membership;
use basaltward_permits::Bounds;
use basaltward_rules::{Observation, Record, Recorder};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
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
    /// The settings that a bed writes.
    #[error("settings of a gateway: {0}")]
    Settings(#[from] ConfigError),
    /// There are no gateways.
    #[error("a bed of sites needs a gateway: give a site at least one")]
    Empty,
    /// The clients' thread is gone.
    #[error("the clients have panicked")]
    Clients,
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
    pub ways: Ways,
    /// The bulletin.
    pub board: FakeBulletin,
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
    clients: Option<Clients>,
    reached: Vec<SocketAddr>,
    workspace: Workspace,
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
            let mut acts = vec![WorkerAction::Wait(work)];
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
        script: impl Fn(&ExecRequest) -> Vec<WorkerAction> + Clone + Send + Sync + 'static,
    ) -> Result<Self, TrialError> {
        let workspace = Workspace::new()?;
        let who = |from: SocketAddr| party(from).map(name).unwrap_or_default();
        let recorder = Recorder::memory();
        let worker = |i: usize| {
            let script = script.clone();
            LineWorker::start_for_schedulers(&Party::Worker(i).to_string(), recorder.clone(), who, script)
        };
        let workers = (0..spec.workers).map(worker).collect::<Result<Vec<_>, _>>()?;
        let board = FakeBulletin::start(2)?;
        let all = 0..spec.schedulers;
        let listens = all.clone().map(|i| workspace.reserve(i)).collect::<Result<Vec<_>, _>>()?;
        let peers = all.clone().map(|i| workspace.reserve(i)).collect::<Result<Vec<_>, _>>()?;
        let mut laying = Laying::new()?;
        let mesh = laying.mesh(&peers)?;
        let (mut schedulers, mut reached) = (Vec::new(), Vec::new());
        for i in all {
            let from = Party::Scheduler(i);
            let to = |to| Way { from, to };
            let bulletin = laying.route(to(Party::Bulletin), board.address(), None)?;
            let mut targets = Vec::new();
            for (w, worker) in workers.iter().enumerate() {
                let at = laying.route(to(Party::Worker(w)), worker.address(), Some(workspace.ip(i)))?;
                targets.push(target(&Party::Worker(w).to_string(), at, "Ready"));
            }
            reached.push(laying.route(Way { from: Party::Clients, to: from }, listens[i], None)?);
            let config = workspace.file(&format!("n{i}.json"));
            let told = configuration(&spec, i, (listens[i], peers[i], bulletin), &mesh[i], &targets);
            std::fs::write(&config, told.to_string())?;
            let records = workspace.file(&format!("n{i}.records"));
            schedulers.push(Process::scheduler(&name(i), &spec.program, &config, &records));
        }
        let ways = Ways::new(laying.start(spec.seed)?);
        let (began, clients) = (monotonic(), None);
        let mut bed = Self {
            spec,
            schedulers,
            listens,
            peers,
            ways,
            board,
            workers,
            recorder,
            usual: Loss::default(),
            mesh,
            began,
            clients,
            reached,
            workspace,
        };
        for i in 0..bed.schedulers.len() {
            bed.up(i)?;
        }
        Ok(bed)
    }

    fn put(&self, i: usize, what: Observation) {
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
        self.put(i, Observation::Down { killed: true });
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
        self.rewrite(i, |told| told["fleet"]["permits"]["version"] = name.into())
    }

    fn rewrite(&self, i: usize, change: impl FnOnce(&mut serde_json::Value)) -> Result<(), TrialError> {
        let path = self.workspace.file(&format!("n{i}.json"));
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
        self.ways.stream(way, stream);
    }

    /// What becomes of the datagrams of a way from now on.
    pub fn loss(&mut self, way: Way, loss: Loss) {
        self.ways.loss(way, loss);
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
            true => (Stream::Stall, Loss { loss_rate: 1.0, ..self.usual }),
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
    pub fn view(&self, i: usize) -> Result<StatusResponse, TrialError> {
        Ok(fetch_membership(self.peers[i])?)
    }

    /// Schedulers whose process runs and is not stalled.
    pub fn running(&self) -> Vec<usize> {
        (0..self.schedulers.len()).filter(|i| self.schedulers[*i].runs()).collect()
    }

    /// Whether all of a group hold the same view, and in it those of the group that run, and no others, are live.
    pub fn agrees(&self, group: &[usize]) -> bool {
        let up: Vec<_> = self.running().into_iter().filter(|i| group.contains(i)).collect();
        let views: Vec<_> = up.iter().filter_map(|i| self.view(*i).ok()).collect();
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
            records.extend(whole(&self.workspace.file(&format!("n{i}.records")))?);
        }
        records.sort_by_key(|record| record.time);
        Ok(records)
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        // Before the folder goes with the workspace.
        self.clients = None;
        self.schedulers.clear();
    }
}

/// Whom a view takes for live.
pub(crate) fn live(view: &StatusResponse) -> Vec<usize> {
    let all = view.members.iter().enumerate();
    all.filter(|(_, seen)| seen.state.is_live()).map(|(i, _)| i).collect()
}

/// One entry of the bulletin.
pub(crate) fn target(uid: &str, at: SocketAddr, state: &str) -> serde_json::Value {
    json!({"uid": uid, "endpoint": at.to_string(), "az": "east", "model": "std", "pod_group": 0,
"state": state, "capacity_hint": 1, "boot_ms": 0})
}

pub(crate) fn configuration(
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
        fleet["permits"] = json!({"bounds": bounds});
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
