//! A cluster of sites: gateways and workers as processes of their own, with relays on all links between them.

use crate::capture::CaptureProtocol;
use crate::cluster::{HarnessError, live};
use crate::link::{Link, Party};
use crate::network::Network;
use crate::process::{Launch, Process};
use crate::relay::RelayBuilder;
use crate::shaping::Shaping;
use crate::site_config::{GatewayAddresses, write_files};
use crate::site_spec::{SiteLink, SitesSpec};
use crate::site_workload::plans;
use crate::workspace::{Workspace, read_complete_records};
use basaltward_config::Config;
use basaltward_fakes::{ClientStats, Clients};
use basaltward_membership::StatusResponse;
use basaltward_net::{Micros, NetError, monotonic};
use basaltward_peers::fetch_membership;
use basaltward_rules::{Observation, Record, Recorder};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

/// Selects the processes of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSelector {
    /// All gateways and workers of a site.
    Site(usize),
    /// A gateway, by its number in the cluster.
    Gateway(usize),
    /// A worker, by its number in the cluster.
    Worker(usize),
}

/// A running cluster of sites. Dropping it ends everything that it started.
pub struct SiteCluster {
    /// The parameters of the cluster.
    pub spec: SitesSpec,
    /// The gateways, by number.
    pub gateways: Vec<Process>,
    /// The workers, by number.
    pub workers: Vec<Process>,
    /// Listen address of each gateway for calls.
    pub listen_addresses: Vec<SocketAddr>,
    /// Relay address by which clients reach each gateway.
    pub client_addresses: Vec<SocketAddr>,
    /// Addresses by which each gateway reaches the fronts of all gateways, by number.
    pub front_addresses: Vec<Vec<SocketAddr>>,
    /// Address of each gateway for datagrams of its peers.
    pub datagram_addresses: Vec<SocketAddr>,
    /// The relays on all links.
    pub network: Network,
    /// Records of the clients.
    pub recorder: Recorder,
    /// Start of the clients.
    pub clients_started_at: Micros,
    /// Settings of the first gateway; the settings of the checked rules derive from them.
    pub config: Config,
    /// Site of each gateway, and of each worker, by number.
    pub(crate) sites_of: (Vec<usize>, Vec<usize>),
    links: BTreeMap<(usize, usize), SiteLink>,
    /// Names of workers by their own and their relay addresses.
    worker_names: BTreeMap<String, String>,
    clients: Option<JoinHandle<Result<ClientStats, NetError>>>,
    workspace: Workspace,
}

/// Path of a process's file of records.
fn records_path(workspace: &Workspace, party: Party) -> std::path::PathBuf {
    workspace.file(&format!("{party}.records"))
}

impl SiteCluster {
    /// Starts the cluster and waits until every process is ready.
    ///
    /// # Errors
    /// A socket, file or thread failed, or a process did not become ready.
    pub fn start(spec: SitesSpec) -> Result<Self, HarnessError> {
        let workspace = Workspace::new()?;
        let (gateway_sites, worker_sites) = (spec.gateways(), spec.workers());
        let count = gateway_sites.len();
        let addresses = || (0..count).map(|i| workspace.reserve(i)).collect::<Result<Vec<_>, _>>();
        let (listens, datagram_addresses, journals) = (addresses()?, addresses()?, addresses()?);
        let reserve_worker = |w| workspace.reserve(count + w);
        let worker_addresses =
            (0..worker_sites.len()).map(reserve_worker).collect::<Result<Vec<SocketAddr>, _>>()?;
        let mut relays = RelayBuilder::new()?;
        let mesh = relays.add_datagram_mesh(&datagram_addresses)?;
        let mut worker_names = BTreeMap::new();
        let (mut gateways, mut client_addresses, mut config) = (Vec::new(), Vec::new(), None);
        let mut front_addresses = Vec::new();
        for i in 0..count {
            let from = Party::Scheduler(i);
            let mut addresses_of_peers = Vec::new();
            for j in 0..count {
                let datagrams = mesh[i][j];
                if i == j {
                    addresses_of_peers.push(GatewayAddresses {
                        datagrams,
                        front: listens[j],
                        journal: journals[j],
                    });
                    continue;
                }
                let front = relays.add_link(Link { from, to: Party::Scheduler(j) }, listens[j], None)?;
                relays.capture_last_link(CaptureProtocol::Calls);
                let journal = relays.add_link(Link { from, to: Party::Journal(j) }, journals[j], None)?;
                relays.capture_last_link(CaptureProtocol::Frames);
                addresses_of_peers.push(GatewayAddresses { datagrams, front, journal });
            }
            front_addresses.push(addresses_of_peers.iter().map(|addresses| addresses.front).collect());
            let mut workers = Vec::new();
            for w in (0..worker_sites.len()).filter(|w| worker_sites[*w] == gateway_sites[i]) {
                let to = Party::Worker(w);
                let address = relays.add_link(Link { from, to }, worker_addresses[w], None)?;
                worker_names.insert(address.to_string(), to.to_string());
                workers.push((w, address));
            }
            client_addresses.push(relays.add_link(
                Link { from: Party::Clients, to: from },
                listens[i],
                None,
            )?);
            let path = write_files(&spec, &workspace, i, &addresses_of_peers, &workers)?;
            config.get_or_insert(basaltward_config::load(&path)?);
            let args = ["--log", "info,basaltward::call=off", "serve", "--config"]
                .map(OsString::from)
                .into_iter()
                .chain([path.into()])
                .collect();
            let vars = spec.env.iter().filter(|(gateway, ..)| *gateway == i);
            let vars = vars.map(|(_, name, value)| (name.clone(), Some(value.into()))).collect();
            let launch = Launch { args, env: vars, ready_line: "listening on" };
            gateways.push(Process::new(&from.to_string(), &spec.program, launch));
        }
        let worker = |(w, address): (usize, &SocketAddr)| {
            let (party, site) = (Party::Worker(w), &spec.sites[worker_sites[w]]);
            worker_names.insert(address.to_string(), party.to_string());
            let mut args: Vec<OsString> = vec!["worker".into(), "--records".into()];
            args.push(records_path(&workspace, party).into());
            let options = [
                ("--listen", address.to_string()),
                ("--cores", site.cores.to_string()),
                ("--memory-mb", site.memory_mb.to_string()),
                ("--work-ms", spec.work_ms.to_string()),
                ("--load-ms", spec.load_ms.to_string()),
            ];
            args.extend(options.into_iter().flat_map(|(name, value)| [name.into(), value.into()]));
            let launch = Launch { args, env: Vec::new(), ready_line: "worker on" };
            Process::new(&party.to_string(), &spec.program, launch)
        };
        let workers = worker_addresses.iter().enumerate().map(worker).collect();
        let network = Network::new(relays.start(spec.seed)?);
        let config = config.ok_or(HarnessError::NoGateways)?;
        let recorder = Recorder::memory();
        let (started_at, links, clients) = (monotonic(), BTreeMap::new(), None);
        let sites_of = (gateway_sites, worker_sites);
        let mut cluster = Self {
            spec,
            gateways,
            workers,
            listen_addresses: listens,
            client_addresses,
            front_addresses,
            datagram_addresses,
            network,
            recorder,
            clients_started_at: started_at,
            config,
            sites_of,
            links,
            worker_names,
            clients,
            workspace,
        };
        for (from, to) in cluster.pairs() {
            cluster.set_link(from, to, cluster.spec.link(from, to));
        }
        for site in 0..cluster.spec.sites.len() {
            cluster.start_processes(ProcessSelector::Site(site))?;
        }
        Ok(cluster)
    }

    /// All ordered pairs of sites, including each site with itself.
    fn pairs(&self) -> Vec<(usize, usize)> {
        let all = 0..self.spec.sites.len();
        all.clone().flat_map(|from| all.clone().map(move |to| (from, to))).collect()
    }

    /// Numbers of a site's gateways.
    pub fn gateways_of(&self, site: usize) -> Vec<usize> {
        (0..self.sites_of.0.len()).filter(|i| self.sites_of.0[*i] == site).collect()
    }

    fn workers_of(&self, site: usize) -> Vec<usize> {
        (0..self.sites_of.1.len()).filter(|w| self.sites_of.1[*w] == site).collect()
    }

    /// Numbers of the selected gateways and workers.
    fn selected(&self, selector: ProcessSelector) -> (Vec<usize>, Vec<usize>) {
        match selector {
            ProcessSelector::Site(site) => (self.gateways_of(site), self.workers_of(site)),
            ProcessSelector::Gateway(one) => (vec![one], Vec::new()),
            ProcessSelector::Worker(one) => (Vec::new(), vec![one]),
        }
    }

    fn for_each_process(&mut self, selector: ProcessSelector, mut action: impl FnMut(&mut Process)) {
        let (gateways, workers) = self.selected(selector);
        gateways.into_iter().for_each(|i| action(&mut self.gateways[i]));
        workers.into_iter().for_each(|w| action(&mut self.workers[w]));
    }

    /// Starts the selected processes under the same names and addresses again, workers first.
    ///
    /// # Errors
    /// A process did not become ready.
    pub fn start_processes(&mut self, selector: ProcessSelector) -> Result<(), HarnessError> {
        let (gateways, workers) = self.selected(selector);
        workers.into_iter().try_for_each(|w| self.workers[w].start())?;
        gateways.into_iter().try_for_each(|i| self.gateways[i].start())?;
        self.set_down(selector, false);
        Ok(())
    }

    /// Records at the relays whether the selected processes are down.
    fn set_down(&mut self, selector: ProcessSelector, down: bool) {
        let (gateways, workers) = self.selected(selector);
        let all = 0..self.gateways.len();
        for i in gateways {
            self.network.set_target_down(Link { from: Party::Clients, to: Party::Scheduler(i) }, down);
            for from in all.clone().filter(|from| *from != i).map(Party::Scheduler) {
                for to in [Party::Scheduler(i), Party::Journal(i)] {
                    self.network.set_target_down(Link { from, to }, down);
                }
            }
        }
        for w in workers {
            let site = self.sites_of.1[w];
            for i in self.gateways_of(site) {
                self.network.set_target_down(Link { from: Party::Scheduler(i), to: Party::Worker(w) }, down);
            }
        }
    }

    /// Kills the selected processes with SIGKILL.
    pub fn kill(&mut self, selector: ProcessSelector) {
        self.for_each_process(selector, Process::kill);
        self.set_down(selector, true);
        for i in self.selected(selector).0 {
            // A killed process cannot record its own end. Each gateway runs a single loop, number 0.
            self.recorder.put(monotonic(), &format!("n{i}/0"), Observation::Down { killed: true });
        }
    }

    /// Sends SIGTERM to the selected processes and waits until they exit.
    ///
    /// # Errors
    /// A process did not exit in time.
    pub fn stop(&mut self, selector: ProcessSelector) -> Result<(), HarnessError> {
        self.for_each_process(selector, Process::stop);
        let mut ended = Ok(());
        self.for_each_process(selector, |process| {
            ended = std::mem::replace(&mut ended, Ok(())).and(process.join())
        });
        self.set_down(selector, true);
        Ok(ended?)
    }

    /// Pauses or resumes the selected processes.
    pub fn stall(&mut self, selector: ProcessSelector, paused: bool) {
        self.for_each_process(selector, if paused { Process::stall } else { Process::resume });
    }

    /// Current state of the link from one site to another.
    pub fn current_link(&self, from: usize, to: usize) -> SiteLink {
        self.links.get(&(from, to)).copied().unwrap_or_else(SiteLink::within)
    }

    /// Sets the state of the link from one site to another.
    pub fn set_link(&mut self, from: usize, to: usize, link: SiteLink) {
        self.links.insert((from, to), link);
        let back = self.current_link(to, from);
        for i in self.gateways_of(from) {
            for j in self.gateways_of(to).into_iter().filter(|j| *j != i) {
                let (own, other) = (Party::Scheduler(i), Party::Scheduler(j));
                self.network.set_datagram_faults(Link { from: own, to: other }, link.datagram_faults());
                for to in [other, Party::Journal(j)] {
                    self.set_connection_faults(Link { from: own, to }, (&link, &back));
                }
                for to in [own, Party::Journal(i)] {
                    self.set_connection_faults(Link { from: other, to }, (&back, &link));
                }
            }
        }
    }

    fn set_connection_faults(&mut self, link: Link, (there, back): (&SiteLink, &SiteLink)) {
        let shapings: [Shaping; 2] = [there.shaping(), back.shaping()];
        self.network.set_shaping(link, shapings);
        let mode = if back.broken { back.connection_mode() } else { there.connection_mode() };
        self.network.set_connection_mode(link, mode);
    }

    /// Corrupts one byte of the next chunk on every journal connection from one site to another, once.
    pub fn corrupt_byte(&mut self, from: usize, to: usize) {
        for i in self.gateways_of(from) {
            for j in self.gateways_of(to) {
                self.network.relay.corrupt_byte(Link { from: Party::Scheduler(i), to: Party::Journal(j) });
            }
        }
    }

    /// Fetches a gateway's membership view by an operator's status request.
    ///
    /// # Errors
    /// It did not answer.
    pub fn fetch_view(&self, i: usize) -> Result<StatusResponse, HarnessError> {
        Ok(fetch_membership(self.datagram_addresses[i])?)
    }

    /// Whether all running gateways have the same view, in which exactly these gateways are live.
    pub fn views_agree(&self) -> bool {
        let up: Vec<_> = (0..self.gateways.len()).filter(|i| self.gateways[*i].is_running()).collect();
        let views: Vec<_> = up.iter().filter_map(|i| self.fetch_view(*i).ok()).collect();
        views.len() == up.len() && views.iter().all(|view| view.digest == views[0].digest && live(view) == up)
    }

    /// Waits until [`SiteCluster::views_agree`]. Returns false if it took longer than `within`.
    pub fn wait_for_agreement(&self, within: Duration) -> bool {
        let began = std::time::Instant::now();
        while began.elapsed() < within {
            if self.views_agree() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Starts the clients, which follow the loads of the parameters.
    ///
    /// # Errors
    /// The system cannot create the event loop or the thread of the clients.
    pub fn start_clients(&mut self) -> Result<(), HarnessError> {
        let clients = Clients::with_recorded_addresses(
            self.client_addresses.clone(),
            self.listen_addresses.clone(),
            self.recorder.clone(),
        )?;
        let plans = plans(&self.spec, &self.sites_of.0);
        self.clients_started_at = monotonic();
        let run = move || clients.run(plans);
        self.clients = Some(std::thread::Builder::new().name("clients".into()).spawn(run)?);
        Ok(())
    }

    /// Waits for the clients, stops all processes and returns all records, sorted by time, with workers' addresses
    /// replaced by their names, and the clients' statistics.
    ///
    /// # Errors
    /// The clients failed, a process did not exit in time, or records cannot be read.
    pub fn finish(&mut self) -> Result<(Vec<Record>, ClientStats), HarnessError> {
        let clients =
            self.clients.take().map(|thread| thread.join().map_err(|_| HarnessError::ClientsPanicked));
        let client_stats = clients.transpose()?.transpose()?.unwrap_or_default();
        // Gateways first, so that they can finish their calls at the workers.
        for process in self.gateways.iter_mut().chain(&mut self.workers) {
            process.resume();
            if !process.check_crashed() {
                process.stop();
                process.join()?;
            }
        }
        let mut all = self.recorder.take();
        let gateways = (0..self.gateways.len()).map(Party::Scheduler);
        for party in gateways.chain((0..self.workers.len()).map(Party::Worker)) {
            all.extend(read_complete_records(&records_path(&self.workspace, party))?);
        }
        all.iter_mut().for_each(|record| self.name_workers(record));
        all.sort_by_key(|record| record.time);
        Ok((all, client_stats))
    }

    fn name_workers(&self, record: &mut Record) {
        let rename = |worker: &mut String| {
            if let Some(name) = self.worker_names.get(worker) {
                worker.clone_from(name);
            }
        };
        rename(&mut record.observer);
        match &mut record.observation {
            Observation::WorkerState { worker, .. }
            | Observation::Sent { worker, .. }
            | Observation::Ordered { worker, .. } => rename(worker),
            _ => {}
        }
    }
}

impl Drop for SiteCluster {
    fn drop(&mut self) {
        // Processes must end before the workspace deletes its directory.
        self.gateways.clear();
        self.workers.clear();
    }
}
