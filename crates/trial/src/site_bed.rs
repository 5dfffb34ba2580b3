//! A bed of sites: gateways and workers as processes of their own, with relays on all ways between them.

use crate::bed::{TrialError, live};
use crate::capture::Reads;
use crate::process::{Launch, Process};
use crate::relay::Laying;
use crate::shaping::Shaping;
use crate::site_files::{Reach, write_files};
use crate::site_load::plans;
use crate::site_spec::{SiteLink, SitesSpec};
use crate::way::{Party, Way};
use crate::ways::Ways;
use crate::workspace::{Workspace, whole};
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

/// Which processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    /// All of a site.
    Site(usize),
    /// A gateway, by its number among all.
    Gateway(usize),
    /// A worker, by its number among all.
    Worker(usize),
}

/// Running sites. What they started ends with them.
pub struct SiteBed {
    /// What it was made by.
    pub spec: SitesSpec,
    /// The gateways, by number.
    pub gateways: Vec<Process>,
    /// The workers, by number.
    pub workers: Vec<Process>,
    /// Where each gateway listens.
    pub listens: Vec<SocketAddr>,
    /// Where clients reach each gateway.
    pub reached: Vec<SocketAddr>,
    /// Where each gateway reaches the fronts of all, by number.
    pub fronts: Vec<Vec<SocketAddr>>,
    /// Where each takes datagrams.
    pub tells: Vec<SocketAddr>,
    /// The relays on all ways.
    pub ways: Ways,
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
    clients: Option<JoinHandle<Result<ClientStats, NetError>>>,
    workspace: Workspace,
}

/// Files of a party's records.
fn records(workspace: &Workspace, party: Party) -> std::path::PathBuf {
    workspace.file(&format!("{party}.records"))
}

impl SiteBed {
    /// Starts all of it, and waits until everybody serves.
    ///
    /// # Errors
    /// Where a part can't be had or a process does not come up.
    pub fn start(spec: SitesSpec) -> Result<Self, TrialError> {
        let workspace = Workspace::new()?;
        let (of, at) = (spec.gateways(), spec.workers());
        let count = of.len();
        let addresses = || (0..count).map(|i| workspace.reserve(i)).collect::<Result<Vec<_>, _>>();
        let (listens, tells, journals) = (addresses()?, addresses()?, addresses()?);
        let worker_at = |w| workspace.reserve(count + w);
        let worker_at = (0..at.len()).map(worker_at).collect::<Result<Vec<SocketAddr>, _>>()?;
        let mut laying = Laying::new()?;
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
                let front = laying.route(Way { from, to: Party::Scheduler(j) }, listens[j], None)?;
                laying.capture(Reads::Calls);
                let journal = laying.route(Way { from, to: Party::Journal(j) }, journals[j], None)?;
                laying.capture(Reads::Frames);
                reaches.push(Reach { tell, front, journal });
            }
            fronts.push(reaches.iter().map(|reach| reach.front).collect());
            let mut workers = Vec::new();
            for w in (0..at.len()).filter(|w| at[*w] == of[i]) {
                let to = Party::Worker(w);
                let address = laying.route(Way { from, to }, worker_at[w], None)?;
                known.insert(address.to_string(), to.to_string());
                workers.push((w, address));
            }
            reached.push(laying.route(Way { from: Party::Clients, to: from }, listens[i], None)?);
            let path = write_files(&spec, &workspace, i, &reaches, &workers)?;
            config.get_or_insert(basaltward_config::load(&path)?);
            let args = ["--log", "info,basaltward::call=off", "serve", "--config"]
                .map(OsString::from)
                .into_iter()
                .chain([path.into()])
                .collect();
            let vars = spec.vars.iter().filter(|(who, ..)| *who == i);
            let vars = vars.map(|(_, name, value)| (name.clone(), Some(value.into()))).collect();
            let launch = Launch { args, vars, says: "listening on" };
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
            let launch = Launch { args, vars: Vec::new(), says: "worker on" };
            Process::new(&party.to_string(), &spec.program, launch)
        };
        let workers = worker_at.iter().enumerate().map(worker).collect();
        let ways = Ways::new(laying.start(spec.seed)?);
        let config = config.ok_or(TrialError::Empty)?;
        let recorder = Recorder::memory();
        let (began, links, clients) = (monotonic(), BTreeMap::new(), None);
        let of = (of, at);
        let mut bed = Self {
            spec,
            gateways,
            workers,
            listens,
            reached,
            fronts,
            tells,
            ways,
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
            bed.up(Who::Site(site))?;
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
    fn meant(&self, who: Who) -> (Vec<usize>, Vec<usize>) {
        match who {
            Who::Site(site) => (self.gateways_of(site), self.workers_of(site)),
            Who::Gateway(one) => (vec![one], Vec::new()),
            Who::Worker(one) => (Vec::new(), vec![one]),
        }
    }

    fn each(&mut self, who: Who, mut act: impl FnMut(&mut Process)) {
        let (gateways, workers) = self.meant(who);
        gateways.into_iter().for_each(|i| act(&mut self.gateways[i]));
        workers.into_iter().for_each(|w| act(&mut self.workers[w]));
    }

    /// Starts who is down, under its name and address: workers first.
    ///
    /// # Errors
    /// Where one does not come up.
    pub fn up(&mut self, who: Who) -> Result<(), TrialError> {
        let (gateways, workers) = self.meant(who);
        workers.into_iter().try_for_each(|w| self.workers[w].start())?;
        gateways.into_iter().try_for_each(|i| self.gateways[i].start())?;
        self.shut(who, false);
        Ok(())
    }

    /// Nobody listens where these did, or they do again.
    fn shut(&mut self, who: Who, shut: bool) {
        let (gateways, workers) = self.meant(who);
        let all = 0..self.gateways.len();
        for i in gateways {
            self.ways.shut(Way { from: Party::Clients, to: Party::Scheduler(i) }, shut);
            for from in all.clone().filter(|from| *from != i).map(Party::Scheduler) {
                for to in [Party::Scheduler(i), Party::Journal(i)] {
                    self.ways.shut(Way { from, to }, shut);
                }
            }
        }
        for w in workers {
            let here = self.of.1[w];
            for i in self.gateways_of(here) {
                self.ways.shut(Way { from: Party::Scheduler(i), to: Party::Worker(w) }, shut);
            }
        }
    }

    /// Kills outright.
    pub fn kill(&mut self, who: Who) {
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
    pub fn stop(&mut self, who: Who) -> Result<(), TrialError> {
        self.each(who, Process::stop);
        let mut ended = Ok(());
        self.each(who, |process| ended = std::mem::replace(&mut ended, Ok(())).and(process.join()));
        self.shut(who, true);
        Ok(ended?)
    }

    /// Stands still from now on, or goes on.
    pub fn stall(&mut self, who: Who, still: bool) {
        self.each(who, if still { Process::stall } else { Process::resume });
    }

    /// How the link from one site to another is now.
    pub fn link_now(&self, from: usize, to: usize) -> SiteLink {
        self.links.get(&(from, to)).copied().unwrap_or_else(SiteLink::within)
    }

    /// How the link from one site to another is from now on.
    pub fn link(&mut self, from: usize, to: usize, link: SiteLink) {
        self.links.insert((from, to), link);
        let back = self.link_now(to, from);
        for i in self.gateways_of(from) {
            for j in self.gateways_of(to).into_iter().filter(|j| *j != i) {
                let (own, other) = (Party::Scheduler(i), Party::Scheduler(j));
                self.ways.loss(Way { from: own, to: other }, link.loss());
                for to in [other, Party::Journal(j)] {
                    self.connections(Way { from: own, to }, (&link, &back));
                }
                for to in [own, Party::Journal(i)] {
                    self.connections(Way { from: other, to }, (&back, &link));
                }
            }
        }
    }

    fn connections(&mut self, way: Way, (forth, back): (&SiteLink, &SiteLink)) {
        let shapings: [Shaping; 2] = [forth.shaping(), back.shaping()];
        self.ways.shapings(way, shapings);
        let stream = if back.broken { back.stream() } else { forth.stream() };
        self.ways.stream(way, stream);
    }

    /// The next bytes on every journal's connection from one site to another are changed, one of them once.
    pub fn change(&mut self, from: usize, to: usize) {
        for i in self.gateways_of(from) {
            for j in self.gateways_of(to) {
                self.ways.relay.change(Way { from: Party::Scheduler(i), to: Party::Journal(j) });
            }
        }
    }

    /// What a gateway believes of all, asked as an operator asks.
    ///
    /// # Errors
    /// Where it does not answer.
    pub fn view(&self, i: usize) -> Result<StatusResponse, TrialError> {
        Ok(fetch_membership(self.tells[i])?)
    }

    /// Whether all gateways that run hold the same view, and in it those that run, and no others, are live.
    pub fn agrees(&self) -> bool {
        let up: Vec<_> = (0..self.gateways.len()).filter(|i| self.gateways[*i].runs()).collect();
        let views: Vec<_> = up.iter().filter_map(|i| self.view(*i).ok()).collect();
        views.len() == up.len() && views.iter().all(|view| view.digest == views[0].digest && live(view) == up)
    }

    /// Waits until [`SiteBed::agrees`]; false where it does not within this time.
    pub fn agreement(&self, within: Duration) -> bool {
        let began = std::time::Instant::now();
        while began.elapsed() < within {
            if self.agrees() {
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
    pub fn call(&mut self) -> Result<(), TrialError> {
        let clients = Clients::with_recorded_addresses(
            self.reached.clone(),
            self.listens.clone(),
            self.recorder.clone(),
        )?;
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
    pub fn finish(&mut self) -> Result<(Vec<Record>, ClientStats), TrialError> {
        let clients = self.clients.take().map(|thread| thread.join().map_err(|_| TrialError::Clients));
        let tally = clients.transpose()?.transpose()?.unwrap_or_default();
        // Gateways first: they finish what they have.
        for process in self.gateways.iter_mut().chain(&mut self.workers) {
            process.resume();
            if !process.crashed() {
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

impl Drop for SiteBed {
    fn drop(&mut self) {
        // Before the folder goes with the workspace.
        self.gateways.clear();
        self.workers.clear();
    }
}
