//! A bed of sites: gateways and workers as processes of their own, with relays on all ways between them.

use crate::capture::CaptureProtocol;
use crate::cluster::{HarnessError, live};
use crate::link::{Link, Party};
use crate::network::Network;
use crate::process::{Launch, Process};
use crate::relay::RelayBuilder;
use crate::shaping::Shaping;
use crate::site_config::{Reach, write_files};
use crate::site_spec::{SiteLink, SitesSpec};
use crate::site_workload::plans;
use crate::workspace::{Workspace, whole};
use basaltward_config::Config;
use basaltward_membership::StatusResponse;
use basaltward_net::{Micros, NetError, monotonic};
use basaltward_peers::fetch_membership;
use basaltward_rules::{Observation, Record, Recorder};
use basaltward_standins::{Clients, Tally};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

/// Which processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSelector {
    /// All of a site.
    Site(usize),
    /// A gateway, by its number among all.
    Gateway(usize),
    /// A worker, by its number among all.
    Worker(usize),
}

/// Running sites. What they started ends with them.
pub struct SiteCluster {
    /// What it was made by.
    pub spec: SitesSpec,
    /// The gateways, by number.
    pub gateways: Vec<Process>,
    /// The workers, by number.
    pub workers: Vec<Process>,
    /// Where each gateway listens.
    pub listens: Vec<SocketAddr>,
    /// Where clients reach each gateway.
    pub client_addresses: Vec<SocketAddr>,
    /// Where each gateway reaches the fronts of all, by number.
    pub front_addresses: Vec<Vec<SocketAddr>>,
    /// Where each takes datagrams.
    pub tells: Vec<SocketAddr>,
    /// The relays on all ways.
    pub network: Network,
    /// What clients saw.
    pub recorder: Recorder,
    /// When clients began.
    pub began: Micros,
    /// Settings of the first gateway: the rules follow from them.
    pub config: Config,
    /// Sites of gateways and workers, by number.
    pub(crate) of: (Vec<usize>, Vec<usize>),
    links: BTreeMap<(usize, usize), SiteLink>,
    /// Names of workers by every address at which they are known.
    known: BTreeMap<String, String>,
    clients: Option<JoinHandle<Result<Tally, NetError>>>,
    workspace: Workspace,
}

/// Files of a party's records.
fn records(workspace: &Workspace, party: Party) -> std::path::PathBuf {
    workspace.file(&format!("{party}.records"))
}

impl SiteCluster {
    /// Starts all of it, and waits until everybody serves.
    ///
    /// # Errors
    /// Where a part can't be had or a process does not come up.
    pub fn start(spec: SitesSpec) -> Result<Self, HarnessError> {
        let workspace = Workspace::new()?;
        let (of, at) = (spec.gateways(), spec.workers());
        let count = of.len();
        let addresses = || (0..count).map(|i| workspace.reserve(i)).collect::<Result<Vec<_>, _>>();
        let (listens, tells, journals) = (addresses()?, addresses()?, addresses()?);
        let worker_at = |w| workspace.reserve(count + w);
        let worker_at = (0..at.len()).map(worker_at).collect::<Result<Vec<SocketAddr>, _>>()?;
        let mut laying = RelayBuilder::new()?;
        let mesh = laying.mesh(&tells)?;
        let mut known = BTreeMap::new();
        let (mut gateways, mut reached, mut config) = (Vec::new(), Vec::new(), None);
        let mut fronts = Vec::new();
        for i in 0..count {
            let from = Party::Scheduler(i);
            let mut reaches = Vec::new();
            for j in 0..count {
                let tell = mesh[i][j];
                if i == j {
                    reaches.push(Reach { tell, front: listens[j], journal: journals[j] });
                    continue;
                }
                let front = laying.route(Link { from, to: Party::Scheduler(j) }, listens[j], None)?;
                laying.capture(CaptureProtocol::Calls);
                let journal = laying.route(Link { from, to: Party::Journal(j) }, journals[j], None)?;
                laying.capture(CaptureProtocol::Frames);
                reaches.push(Reach { tell, front, journal });
            }
            fronts.push(reaches.iter().map(|reach| reach.front).collect());
            let mut workers = Vec::new();
            for w in (0..at.len()).filter(|w| at[*w] == of[i]) {
                let to = Party::Worker(w);
                let address = laying.route(Link { from, to }, worker_at[w], None)?;
                known.insert(address.to_string(), to.to_string());
                workers.push((w, address));
            }
            reached.push(laying.route(Link { from: Party::Clients, to: from }, listens[i], None)?);
            let path = write_files(&spec, &workspace, i, &reaches, &workers)?;
            config.get_or_insert(basaltward_config::load(&path)?);
            let args = ["--log", "info,basaltward::call=off", "serve", "--config"]
                .map(OsString::from)
                .into_iter()
                .chain([path.into()])
                .collect();
            let vars = spec.env.iter().filter(|(who, ..)| *who == i);
            let vars = vars.map(|(_, name, value)| (name.clone(), Some(value.into()))).collect();
            let launch = Launch { args, env: vars, ready_line: "listening on" };
            gateways.push(Process::new(&from.to_string(), &spec.program, launch));
        }
        let worker = |(w, address): (usize, &SocketAddr)| {
            let (party, site) = (Party::Worker(w), &spec.sites[at[w]]);
            known.insert(address.to_string(), party.to_string());
            let mut args: Vec<OsString> = vec!["worker".into(), "--records".into()];
            args.push(records(&workspace, party).into());
            let told = [
                ("--listen", address.to_string()),
                ("--cores", site.cores.to_string()),
                ("--memory-mb", site.memory_mb.to_string()),
                ("--work-ms", spec.work_ms.to_string()),
                ("--load-ms", spec.load_ms.to_string()),
            ];
            args.extend(told.into_iter().flat_map(|(name, value)| [name.into(), value.into()]));
            let launch = Launch { args, env: Vec::new(), ready_line: "worker on" };
            Process::new(&party.to_string(), &spec.program, launch)
        };
        let workers = worker_at.iter().enumerate().map(worker).collect();
        let ways = Network::new(laying.start(spec.seed)?);
        let config = config.ok_or(HarnessError::Empty)?;
        let recorder = Recorder::memory();
        let (began, links, clients) = (monotonic(), BTreeMap::new(), None);
        let of = (of, at);
        let mut bed = Self {
            spec,
            gateways,
            workers,
            listens,
            client_addresses: reached,
            front_addresses: fronts,
            tells,
            network: ways,
            recorder,
            began,
            config,
            of,
            links,
            known,
            clients,
            workspace,
        };
        for (from, to) in bed.pairs() {
            bed.link(from, to, bed.spec.link(from, to));
        }
        for site in 0..bed.spec.sites.len() {
            bed.up(ProcessSelector::Site(site))?;
        }
        Ok(bed)
    }

    /// All sites by pairs, each with itself too.
    fn pairs(&self) -> Vec<(usize, usize)> {
        let all = 0..self.spec.sites.len();
        all.clone().flat_map(|from| all.clone().map(move |to| (from, to))).collect()
    }

    /// Gateways of a site.
    pub fn gateways_of(&self, site: usize) -> Vec<usize> {
        (0..self.of.0.len()).filter(|i| self.of.0[*i] == site).collect()
    }

    fn workers_of(&self, site: usize) -> Vec<usize> {
        (0..self.of.1.len()).filter(|w| self.of.1[*w] == site).collect()
    }

    /// Gateways and workers that are meant.
    fn meant(&self, who: ProcessSelector) -> (Vec<usize>, Vec<usize>) {
        match who {
            ProcessSelector::Site(site) => (self.gateways_of(site), self.workers_of(site)),
            ProcessSelector::Gateway(one) => (vec![one], Vec::new()),
            ProcessSelector::Worker(one) => (Vec::new(), vec![one]),
        }
    }

    fn each(&mut self, who: ProcessSelector, mut act: impl FnMut(&mut Process)) {
        let (gateways, workers) = self.meant(who);
        gateways.into_iter().for_each(|i| act(&mut self.gateways[i]));
        workers.into_iter().for_each(|w| act(&mut self.workers[w]));
    }

    /// Starts who is down, under its name and address: workers first.
    ///
    /// # Errors
    /// Where one does not come up.
    pub fn up(&mut self, who: ProcessSelector) -> Result<(), HarnessError> {
        let (gateways, workers) = self.meant(who);
        workers.into_iter().try_for_each(|w| self.workers[w].start())?;
        gateways.into_iter().try_for_each(|i| self.gateways[i].start())?;
        self.shut(who, false);
        Ok(())
    }

    /// Nobody listens where these did, or they do again.
    fn shut(&mut self, who: ProcessSelector, shut: bool) {
        let (gateways, workers) = self.meant(who);
        let all = 0..self.gateways.len();
        for i in gateways {
            self.network.set_target_down(Link { from: Party::Clients, to: Party::Scheduler(i) }, shut);
            for from in all.clone().filter(|from| *from != i).map(Party::Scheduler) {
                for to in [Party::Scheduler(i), Party::Journal(i)] {
                    self.network.set_target_down(Link { from, to }, shut);
                }
            }
        }
        for w in workers {
            let here = self.of.1[w];
            for i in self.gateways_of(here) {
                self.network.set_target_down(Link { from: Party::Scheduler(i), to: Party::Worker(w) }, shut);
            }
        }
    }

    /// Kills outright.
    pub fn kill(&mut self, who: ProcessSelector) {
        self.each(who, Process::kill);
        self.shut(who, true);
        for i in self.meant(who).0 {
            // It could not say so itself. It has one loop.
            self.recorder.put(monotonic(), &format!("n{i}/0"), Observation::Down { killed: true });
        }
    }

    /// Sends SIGTERM and waits for the end.
    ///
    /// # Errors
    /// Where one does not end.
    pub fn stop(&mut self, who: ProcessSelector) -> Result<(), HarnessError> {
        self.each(who, Process::stop);
        let mut ended = Ok(());
        self.each(who, |process| ended = std::mem::replace(&mut ended, Ok(())).and(process.join()));
        self.shut(who, true);
        Ok(ended?)
    }

    /// Stands still from now on, or goes on.
    pub fn stall(&mut self, who: ProcessSelector, still: bool) {
        self.each(who, if still { Process::stall } else { Process::resume });
    }

    /// How the link from one site to another is now.
    pub fn current_link(&self, from: usize, to: usize) -> SiteLink {
        self.links.get(&(from, to)).copied().unwrap_or_else(SiteLink::within)
    }

    /// How the link from one site to another is from now on.
    pub fn link(&mut self, from: usize, to: usize, link: SiteLink) {
        self.links.insert((from, to), link);
        let back = self.current_link(to, from);
        for i in self.gateways_of(from) {
            for j in self.gateways_of(to).into_iter().filter(|j| *j != i) {
                let (own, other) = (Party::Scheduler(i), Party::Scheduler(j));
                self.network.set_datagram_faults(Link { from: own, to: other }, link.loss());
                for to in [other, Party::Journal(j)] {
                    self.connections(Link { from: own, to }, (&link, &back));
                }
                for to in [own, Party::Journal(i)] {
                    self.connections(Link { from: other, to }, (&back, &link));
                }
            }
        }
    }

    fn connections(&mut self, way: Link, (forth, back): (&SiteLink, &SiteLink)) {
        let shapings: [Shaping; 2] = [forth.shaping(), back.shaping()];
        self.network.set_shaping(way, shapings);
        let stream = if back.broken { back.stream() } else { forth.stream() };
        self.network.set_connection_mode(way, stream);
    }

    /// The next bytes on every journal's connection from one site to another are changed, one of them once.
    pub fn corrupt_byte(&mut self, from: usize, to: usize) {
        for i in self.gateways_of(from) {
            for j in self.gateways_of(to) {
                self.network.relay.corrupt_byte(Link { from: Party::Scheduler(i), to: Party::Journal(j) });
            }
        }
    }

    /// What a gateway believes of all, asked as an operator asks.
    ///
    /// # Errors
    /// Where it does not answer.
    pub fn fetch_view(&self, i: usize) -> Result<StatusResponse, HarnessError> {
        Ok(fetch_membership(self.tells[i])?)
    }

    /// Whether all gateways that run hold the same view, and in it those that run, and no others, are live.
    pub fn views_agree(&self) -> bool {
        let up: Vec<_> = (0..self.gateways.len()).filter(|i| self.gateways[*i].is_running()).collect();
        let views: Vec<_> = up.iter().filter_map(|i| self.fetch_view(*i).ok()).collect();
        views.len() == up.len() && views.iter().all(|view| view.digest == views[0].digest && live(view) == up)
    }

    /// Waits until [`SiteBed::agrees`]; false where it does not within this time.
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

    /// Clients begin to call, by the loads of the spec.
    ///
    /// # Errors
    /// Where the system refuses their loop or thread.
    pub fn start_clients(&mut self) -> Result<(), HarnessError> {
        let clients =
            Clients::through(self.client_addresses.clone(), self.listens.clone(), self.recorder.clone())?;
        let plans = plans(&self.spec, &self.of.0);
        self.began = monotonic();
        let run = move || clients.run(plans);
        self.clients = Some(std::thread::Builder::new().name("clients".into()).spawn(run)?);
        Ok(())
    }

    /// Waits for the clients, stops everybody and takes all records, by time, with workers by their names.
    ///
    /// # Errors
    /// Where a process does not end or records can't be read.
    pub fn finish(&mut self) -> Result<(Vec<Record>, Tally), HarnessError> {
        let clients = self.clients.take().map(|thread| thread.join().map_err(|_| HarnessError::Clients));
        let tally = clients.transpose()?.transpose()?.unwrap_or_default();
        // Gateways first: they finish what they have.
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
            all.extend(whole(&records(&self.workspace, party))?);
        }
        all.iter_mut().for_each(|record| self.name_workers(record));
        all.sort_by_key(|record| record.time);
        Ok((all, tally))
    }

    fn name_workers(&self, record: &mut Record) {
        let name = |told: &mut String| {
            if let Some(name) = self.known.get(told) {
                told.clone_from(name);
            }
        };
        name(&mut record.observer);
        match &mut record.observation {
            Observation::WorkerState { worker, .. }
            | Observation::Sent { worker, .. }
            | Observation::Ordered { worker, .. } => name(worker),
            _ => {}
        }
    }
}

impl Drop for SiteCluster {
    fn drop(&mut self) {
        // Before the folder goes with the workspace.
        self.gateways.clear();
        self.workers.clear();
    }
}
