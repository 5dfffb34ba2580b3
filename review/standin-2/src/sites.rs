//! Gateways of several sites, each a process, each site with stand-in workers of its own.

use crate::http::{Call, Seen, call};
use crate::relay::{self, Cut};
use crate::util::{Folder, Ports, Process, Record, sleep_ms};
use crate::worker::{Runs, Worker};
use std::path::{Path, PathBuf};

/// What a case wants.
pub struct Plan {
    pub program: PathBuf,
    /// The site of each gateway.
    pub sites: Vec<usize>,
    pub workers_per_site: usize,
    pub threads: u32,
    /// The elements of `classes` and of `functions`.
    pub classes: String,
    pub functions: String,
    /// `repeats`, `margin` and so on, between `functions` and `sites`.
    pub further: String,
    /// Further attributes of `sites`.
    pub sites_attributes: &'static str,
    pub load_ms: u64,
    pub work_ms: u64,
    /// Gateway 0 reaches the others, and they it, by relays that can be cut.
    pub relays: bool,
}

pub struct Cluster {
    pub record: Record,
    pub folder: Folder,
    pub plan: Plan,
    pub runs: Runs,
    pub fronts: Vec<u16>,
    pub gateways: Vec<Option<Process>>,
    /// By site.
    pub workers: Vec<Vec<Worker>>,
    pub cut: Cut,
}

impl Cluster {
    /// Writes all settings and starts all gateways.
    pub fn start(record: &Record, plan: Plan) -> std::io::Result<Self> {
        let (folder, runs, mut ports) = (Folder::create()?, Runs::default(), Ports::default());
        let count = plan.sites.len();
        let site_count = plan.sites.iter().max().map_or(0, |s| s + 1);
        let mut workers = Vec::new();
        for site in 0..site_count {
            let name = |w: usize| format!("worker-{site}{w}");
            let of_site: std::io::Result<Vec<_>> = (0..plan.workers_per_site)
                .map(|w| Worker::start(record, &runs, &name(w), plan.load_ms, plan.work_ms))
                .collect();
            workers.push(of_site?);
        }
        let mut take = || (0..count).map(|_| ports.take()).collect::<std::io::Result<Vec<u16>>>();
        let (fronts, tells, journals) = (take()?, take()?, take()?);
        let cut = Cut::default();
        // By who looks and at whom: datagrams, front and journal.
        let mut reached =
            vec![(0..count).map(|p| (tells[p], fronts[p], journals[p])).collect::<Vec<_>>(); count];
        for other in (1..count).filter(|_| plan.relays) {
            let (to_other, to_first) = relay::datagrams(tells[0], tells[other], &cut)?;
            let connections = |port| relay::connections(port, &cut);
            reached[0][other] = (to_other, connections(fronts[other])?, connections(journals[other])?);
            reached[other][0] = (to_first, connections(fronts[0])?, connections(journals[0])?);
        }
        for own in 0..count {
            write_roster(&folder.0, own, &workers[plan.sites[own]], "active")?;
            let mut text = format!(
                "<basaltward xmlns=\"urn:basaltward:config:1\">\n  <gateway name=\"n{own}\" threads=\"{}\"/>\n  \
                 <listen address=\"127.0.0.1:{}\"/>\n  <roster file=\"n{own}.roster.xml\"/>\n  \
                 <kinds><kind name=\"std\" memory-mb=\"12096\"/></kinds>\n  <classes>{}</classes>\n  \
                 <functions>{}</functions>\n  {}\n",
                plan.threads, fronts[own], plan.classes, plan.functions, plan.further
            );
            text += &format!(
                "  <sites fleet=\"review\" listen=\"127.0.0.1:{}\" journal-listen=\"127.0.0.1:{}\" \
                 operators=\"127.0.0.1\"{}>\n",
                tells[own], journals[own], plan.sites_attributes
            );
            for site in 0..site_count {
                text += &format!("    <site name=\"s{site}\">\n");
                for peer in (0..count).filter(|p| plan.sites[*p] == site) {
                    let (tell, front, journal) = reached[own][peer];
                    text += &format!(
                        "      <peer name=\"n{peer}\" tell=\"127.0.0.1:{tell}\" front=\"127.0.0.1:{front}\" \
                         journal=\"127.0.0.1:{journal}\"/>\n"
                    );
                }
                text += "    </site>\n";
            }
            text += &format!("  </sites>\n  <records file=\"n{own}.records\"/>\n</basaltward>\n");
            std::fs::write(folder.0.join(format!("n{own}.xml")), text)?;
        }
        let gateways = (0..count).map(|_| None).collect();
        let mut cluster = Self { record: record.clone(), folder, plan, runs, fronts, gateways, workers, cut };
        for own in 0..count {
            cluster.start_gateway(own)?;
        }
        Ok(cluster)
    }

    pub fn start_gateway(&mut self, own: usize) -> std::io::Result<()> {
        let config = self.folder.0.join(format!("n{own}.xml"));
        let args = ["--log", "info", "serve", "--config", &config.to_string_lossy()];
        let log = self.folder.0.join(format!("n{own}.log"));
        let name = format!("n{own}");
        self.gateways[own] = Some(Process::spawn(&self.record, &name, &self.plan.program, &args, &[], &log)?);
        Ok(())
    }

    /// One try at a gateway, with a line for what was seen.
    pub fn try_at(&self, gateway: usize, event: &Call, wait_ms: u64) -> Seen {
        try_at(&self.record, self.fronts[gateway], gateway, event, wait_ms)
    }

    /// Sends events of a function, each under a new id, at a gateway until `wanted` in a row were served.
    pub fn warm_up(&self, gateway: usize, function: &str, wanted: usize, until_ms: u64) -> bool {
        let mut served = 0;
        for n in 0.. {
            let event = Call {
                function: function.into(),
                id: format!("warm-{gateway}-{function}-{n}-{}", self.record.ms()),
                timeout_ms: 5_000,
                extra: String::new(),
            };
            match call(self.fronts[gateway], &event, 6_000) {
                Seen::Status(200, _) => served += 1,
                _ => served = 0,
            }
            if served >= wanted {
                self.record.line(&format!("n{gateway} serves {function}"));
                return true;
            }
            if self.record.ms() > until_ms {
                return false;
            }
            sleep_ms(if served > 0 { 10 } else { 200 });
        }
        false
    }
}

/// Writes the roster of a gateway beside and renames it over; all of its workers have this state.
pub fn write_roster(folder: &Path, gateway: usize, workers: &[Worker], state: &str) -> std::io::Result<()> {
    let mut roster = String::from("<roster xmlns=\"urn:basaltward:roster:1\">\n");
    for worker in workers {
        roster +=
            &format!("  <worker address=\"127.0.0.1:{}\" kind=\"std\" state=\"{state}\"/>\n", worker.port);
    }
    let (beside, name) = (folder.join("roster.new"), folder.join(format!("n{gateway}.roster.xml")));
    std::fs::write(&beside, roster + "</roster>\n")?;
    std::fs::rename(beside, name)
}

pub fn try_at(record: &Record, port: u16, gateway: usize, event: &Call, wait_ms: u64) -> Seen {
    record.line(&format!("client sends {} to n{gateway}", event.id));
    let seen = call(port, event, wait_ms);
    let text = match &seen {
        Seen::Status(200, body) => format!("200 {body:?}"),
        Seen::Status(status, body) => format!("{status} {}", body.replace('\n', " ")),
        Seen::Closed => "connection ended without an answer".into(),
        Seen::GaveUp => "client gave up".into(),
    };
    record.line(&format!("client of {} at n{gateway}: {text}", event.id));
    seen
}
