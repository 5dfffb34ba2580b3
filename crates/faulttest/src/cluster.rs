//! A cluster of scheduler processes with stand-ins for bulletin, workers and clients, relays between them, and records.

use crate::DatagramFaults;
use crate::clients::{ClientSpec, Clients};
use crate::link::{ConnectionMode, Link, Party};
use crate::network::Network;
use crate::process::{Process, ProcessError};
use crate::relay::RelayBuilder;
use crate::workspace::{Workspace, party_number, read_complete_records};
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

/// Errors of starting or controlling a cluster.
#[derive(Debug, Error)]
pub enum HarnessError {
    /// A file, directory, socket or thread failed.
    #[error("system: {0}")]
    System(#[from] std::io::Error),
    /// The relays failed.
    #[error("relays: {0}")]
    Relay(#[from] NetError),
    /// A process did not start or stop.
    #[error("{0}")]
    Process(#[from] ProcessError),
    /// A gateway's settings, as the harness wrote them, are invalid.
    #[error("settings of a gateway: {0}")]
    Settings(#[from] ConfigError),
    /// The script has sites but no gateways.
    #[error("a cluster of sites needs at least one gateway")]
    NoGateways,
    /// The thread of the clients panicked.
    #[error("the thread of the clients panicked")]
    ClientsPanicked,
}

/// Parameters of a cluster of schedulers.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// The program that the processes run.
    pub program: PathBuf,
    /// Number of schedulers, at most 200.
    pub schedulers: usize,
    /// Number of workers.
    pub workers: usize,
    /// Execution time of a call in milliseconds.
    pub work_ms: u64,
    /// Pause of a client between an answer and its next call, in milliseconds.
    pub pause_ms: u64,
    /// Bounds on how many may be down at once by a permit, if the fleet uses permits.
    pub bounds: Option<Bounds>,
    /// Seed of every random choice.
    pub seed: u64,
}

/// Classes with the patience of their clients in milliseconds, and whether a call may run twice.
pub(crate) const CLASSES: [(&str, u64, &str); 2] = [("view", 3_000, "safe"), ("extract", 3_000, "unsafe")];
/// Number of functions that clients call.
const FUNCTIONS: u64 = 20;

/// A running cluster. Dropping it ends everything that it started.
pub struct Cluster {
    /// The parameters of the cluster.
    pub spec: ClusterSpec,
    /// The schedulers, by number.
    pub schedulers: Vec<Process>,
    /// Listen address of each scheduler for calls.
    pub listen_addresses: Vec<SocketAddr>,
    /// Address of each scheduler for datagrams of its peers.
    pub peer_addresses: Vec<SocketAddr>,
    /// The relays on all links.
    pub network: Network,
    /// The stand-in for the bulletin.
    pub bulletin: FakeBulletin,
    /// The workers, by number.
    pub workers: Vec<LineWorker>,
    /// Records of clients and workers.
    pub recorder: Recorder,
    /// Faults of datagrams on links without a fault of their own.
    default_faults: DatagramFaults,
    /// Relay addresses by which each scheduler reaches each other, by number.
    mesh: Vec<Vec<SocketAddr>>,
    /// Start of the run.
    pub started_at: Micros,
    clients: Option<Clients>,
    client_addresses: Vec<SocketAddr>,
    workspace: Workspace,
}

fn name(number: usize) -> String {
    Party::Scheduler(number).to_string()
}

impl Cluster {
    /// Starts the cluster and waits until every scheduler is ready.
    ///
    /// # Errors
    /// A socket, file or thread failed, or a scheduler did not become ready.
    pub fn start(spec: ClusterSpec) -> Result<Self, HarnessError> {
        let work = Duration::from_millis(spec.work_ms);
        Self::start_with_worker(spec, move |exec| {
            let mut actions = vec![WorkerAction::Wait(work)];
            actions.extend(exec.serve());
            actions
        })
    }

    /// Like [`Cluster::start`], with workers that handle each call by `script`.
    ///
    /// # Errors
    /// See [`Cluster::start`].
    pub fn start_with_worker(
        spec: ClusterSpec,
        script: impl Fn(&ExecRequest) -> Vec<WorkerAction> + Clone + Send + Sync + 'static,
    ) -> Result<Self, HarnessError> {
        let workspace = Workspace::new()?;
        let scheduler_name = |from: SocketAddr| party_number(from).map(name).unwrap_or_default();
        let recorder = Recorder::memory();
        let worker = |i: usize| {
            let script = script.clone();
            LineWorker::start_for_schedulers(
                &Party::Worker(i).to_string(),
                recorder.clone(),
                scheduler_name,
                script,
            )
        };
        let workers = (0..spec.workers).map(worker).collect::<Result<Vec<_>, _>>()?;
        let bulletin = FakeBulletin::start(2)?;
        let all = 0..spec.schedulers;
        let listens = all.clone().map(|i| workspace.reserve(i)).collect::<Result<Vec<_>, _>>()?;
        let peers = all.clone().map(|i| workspace.reserve(i)).collect::<Result<Vec<_>, _>>()?;
        let mut relays = RelayBuilder::new()?;
        let mesh = relays.add_datagram_mesh(&peers)?;
        let (mut schedulers, mut client_addresses) = (Vec::new(), Vec::new());
        for i in all {
            let from = Party::Scheduler(i);
            let to = |to| Link { from, to };
            let bulletin_relay = relays.add_link(to(Party::Bulletin), bulletin.address(), None)?;
            let mut targets = Vec::new();
            for (w, worker) in workers.iter().enumerate() {
                let at = relays.add_link(to(Party::Worker(w)), worker.address(), Some(workspace.ip(i)))?;
                targets.push(target(&Party::Worker(w).to_string(), at, "Ready"));
            }
            client_addresses.push(relays.add_link(
                Link { from: Party::Clients, to: from },
                listens[i],
                None,
            )?);
            let config = workspace.file(&format!("n{i}.json"));
            let settings =
                configuration(&spec, i, (listens[i], peers[i], bulletin_relay), &mesh[i], &targets);
            std::fs::write(&config, settings.to_string())?;
            let records = workspace.file(&format!("n{i}.records"));
            schedulers.push(Process::scheduler(&name(i), &spec.program, &config, &records));
        }
        let network = Network::new(relays.start(spec.seed)?);
        let (started_at, clients) = (monotonic(), None);
        let mut cluster = Self {
            spec,
            schedulers,
            listen_addresses: listens,
            peer_addresses: peers,
            network,
            bulletin,
            workers,
            recorder,
            default_faults: DatagramFaults::default(),
            mesh,
            started_at,
            clients,
            client_addresses,
            workspace,
        };
        for i in 0..cluster.schedulers.len() {
            cluster.start_scheduler(i)?;
        }
        Ok(cluster)
    }

    fn record(&self, i: usize, observation: Observation) {
        self.recorder.put(monotonic(), &name(i), observation);
    }

    /// Starts a scheduler under the same name and address again.
    ///
    /// # Errors
    /// It did not become ready.
    pub fn start_scheduler(&mut self, i: usize) -> Result<(), HarnessError> {
        Ok(self.schedulers[i].start()?)
    }

    /// Kills a scheduler with SIGKILL.
    pub fn kill(&mut self, i: usize) {
        self.schedulers[i].kill();
        // A killed process cannot record its own end.
        self.record(i, Observation::Down { killed: true });
    }

    /// Sends SIGTERM to a scheduler and waits until it exits.
    ///
    /// # Errors
    /// It did not exit in time.
    pub fn stop(&mut self, i: usize) -> Result<(), HarnessError> {
        self.schedulers[i].stop();
        Ok(self.schedulers[i].join()?)
    }

    /// Sets the number of members in the list: rewrites the configuration files of those members. A scheduler uses
    /// its new file after [`Process::reload_config`] or its next start.
    ///
    /// # Errors
    /// A file cannot be read or written.
    pub fn set_member_count(&self, size: usize) -> Result<(), HarnessError> {
        for (i, mesh) in self.mesh.iter().enumerate().take(size) {
            let peers = mesh.iter().take(size).map(ToString::to_string).collect();
            self.rewrite(i, |settings| settings["peers"] = peers)?;
        }
        Ok(())
    }

    /// Sets the permits version in a scheduler's configuration, in effect from its next start on.
    ///
    /// # Errors
    /// The file cannot be read or written.
    pub fn set_permits_version(&self, i: usize, name: &str) -> Result<(), HarnessError> {
        self.rewrite(i, |settings| settings["fleet"]["permits"]["version"] = name.into())
    }

    fn rewrite(&self, i: usize, change: impl FnOnce(&mut serde_json::Value)) -> Result<(), HarnessError> {
        let path = self.workspace.file(&format!("n{i}.json"));
        let text = std::fs::read_to_string(&path)?;
        let mut settings: serde_json::Value = serde_json::from_str(&text).map_err(std::io::Error::from)?;
        change(&mut settings);
        let new_path = path.with_extension("new");
        std::fs::write(&new_path, settings.to_string())?;
        Ok(std::fs::rename(&new_path, &path)?)
    }

    /// Starts the clients: one for each scheduler.
    pub fn start_clients(&mut self) {
        let classes = CLASSES.iter().map(|(name, patience, _)| ((*name).to_owned(), *patience)).collect();
        let pause = Duration::from_millis(self.spec.pause_ms);
        let spec = ClientSpec { classes, functions: FUNCTIONS, pause };
        let to: Vec<_> =
            self.client_addresses.iter().copied().zip(self.listen_addresses.iter().copied()).collect();
        self.clients = Some(Clients::start(&spec, &self.recorder, &to));
    }

    /// Sets how the connections of a link are treated from now on.
    pub fn set_connection_mode(&mut self, link: Link, mode: ConnectionMode) {
        self.network.set_connection_mode(link, mode);
    }

    /// Sets loss, duplication and delay of a link's datagrams from now on.
    pub fn set_datagram_faults(&mut self, link: Link, faults: DatagramFaults) {
        self.network.set_datagram_faults(link, faults);
    }

    /// Sets the datagram faults of all links from now on, and of links whose partition ends later.
    pub fn set_all_datagram_faults(&mut self, faults: DatagramFaults) {
        self.default_faults = faults;
        let all = 0..self.schedulers.len();
        for (from, to) in all.clone().flat_map(|i| all.clone().map(move |j| (i, j))) {
            if from != to {
                self.set_datagram_faults(
                    Link { from: Party::Scheduler(from), to: Party::Scheduler(to) },
                    faults,
                );
            }
        }
    }

    /// Starts or ends a partition that cuts a group of schedulers off from all others and from workers, bulletin and
    /// clients. Connections stay open and silent, as when a zone loses its network.
    pub fn set_partition(&mut self, group: &[usize], cut: bool) {
        let (mode, faults) = match cut {
            true => (ConnectionMode::Stall, DatagramFaults { loss_rate: 1.0, ..self.default_faults }),
            false => (ConnectionMode::Pass, self.default_faults),
        };
        for &i in group {
            let own = Party::Scheduler(i);
            self.set_connection_mode(Link { from: Party::Clients, to: own }, mode);
            self.set_connection_mode(Link { from: own, to: Party::Bulletin }, mode);
            for w in 0..self.workers.len() {
                self.set_connection_mode(Link { from: own, to: Party::Worker(w) }, mode);
            }
            for j in (0..self.schedulers.len()).filter(|j| !group.contains(j)) {
                let other = Party::Scheduler(j);
                for link in [Link { from: own, to: other }, Link { from: other, to: own }] {
                    self.set_datagram_faults(link, faults);
                }
            }
        }
    }

    /// The relay address by which one scheduler reaches another with its datagrams.
    pub fn peer_relay_address(&self, from: usize, to: usize) -> SocketAddr {
        self.mesh[from][to]
    }

    /// Fetches a scheduler's membership view by an operator's status request.
    ///
    /// # Errors
    /// It did not answer.
    pub fn fetch_view(&self, i: usize) -> Result<StatusResponse, HarnessError> {
        Ok(fetch_membership(self.peer_addresses[i])?)
    }

    /// Schedulers whose process runs and is not paused.
    pub fn running(&self) -> Vec<usize> {
        (0..self.schedulers.len()).filter(|i| self.schedulers[*i].is_running()).collect()
    }

    /// Whether all running schedulers of a group have the same view, in which exactly these schedulers are live.
    pub fn views_agree(&self, group: &[usize]) -> bool {
        let up: Vec<_> = self.running().into_iter().filter(|i| group.contains(i)).collect();
        let views: Vec<_> = up.iter().filter_map(|i| self.fetch_view(*i).ok()).collect();
        views.len() == up.len() && views.iter().all(|view| view.digest == views[0].digest && live(view) == up)
    }

    /// Waits until [`Cluster::views_agree`]. Returns how long that took, or `None` if it took longer than `within`.
    pub fn wait_for_agreement(&self, group: &[usize], within: Duration) -> Option<Duration> {
        let began = std::time::Instant::now();
        while began.elapsed() < within {
            if self.views_agree(group) {
                return Some(began.elapsed());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Draws a number below `below`; the same seed and step give the same number.
    pub fn seeded_index(seed: u64, step: u64, below: usize) -> usize {
        StdRng::seed_from_u64(seed ^ step << 32).random_range(0..below.max(1))
    }

    /// Stops clients and schedulers and returns all records, sorted by time.
    ///
    /// # Errors
    /// A scheduler did not exit in time, or records cannot be read.
    pub fn finish(&mut self) -> Result<Vec<Record>, HarnessError> {
        if let Some(clients) = &mut self.clients {
            clients.stop();
        }
        for process in &mut self.schedulers {
            process.resume();
            if !process.check_crashed() {
                process.stop();
            }
        }
        for process in &mut self.schedulers {
            process.join()?;
        }
        let mut records = self.recorder.take();
        for i in 0..self.schedulers.len() {
            records.extend(read_complete_records(&self.workspace.file(&format!("n{i}.records")))?);
        }
        records.sort_by_key(|record| record.time);
        Ok(records)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // Processes must end before the workspace deletes its directory.
        self.clients = None;
        self.schedulers.clear();
    }
}

/// Numbers of the members that are live in a view.
pub(crate) fn live(view: &StatusResponse) -> Vec<usize> {
    let all = view.members.iter().enumerate();
    all.filter(|(_, seen)| seen.state.is_live()).map(|(i, _)| i).collect()
}

/// One entry of the bulletin's list of workers.
pub(crate) fn target(uid: &str, at: SocketAddr, state: &str) -> serde_json::Value {
    json!({"uid": uid, "endpoint": at.to_string(), "az": "east", "model": "std", "pod_group": 0,
"state": state, "capacity_hint": 1, "boot_ms": 0})
}

/// Configuration of one scheduler. `targets` is its list of workers.
pub(crate) fn configuration(
    spec: &ClusterSpec,
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
