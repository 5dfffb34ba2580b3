//! The slopes that this command measures itself, in small bounded runs of the state machines without sockets.

use super::plan::{Assumptions, Plan};
use super::points::Point;
use crate::memory::resident;
use crate::module::{Driver, Load};
use crate::{pending, route};
use basaltward::{Member, MembersKind};
use basaltward_admission::{AdmissionController, AdmissionSettings, CellCounts, ClassSettings, LoopCounts};
use basaltward_bulletin::Target;
use basaltward_membership::{
    LinkFaults, MemberId, MembershipSettings, Micros, Site, SiteMap, VirtualCluster,
};
use basaltward_node::InstanceDirectory;
use basaltward_permits::{
    Bounds, Observation, Observations, PermitNode as PermitMember, PermitSettings, PermitState, Subject,
    VirtualFleet, grant_permit,
};
use basaltward_site_routing::{FunctionSpec, RoutingController, RoutingSettings};
use clap::ValueEnum;
use std::error::Error;
use std::hint::black_box;
use std::time::Instant;

type MeasureResult<T> = Result<T, Box<dyn Error>>;

const SECOND_US: Micros = 1_000_000;

/// Which sizes are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// All sizes; takes some minutes.
    Full,
    /// The smallest sizes only; takes some seconds.
    Quick,
}

impl Extent {
    fn select<T: Copy>(self, full: &[T], quick: &[T]) -> Vec<T> {
        match self {
            Self::Full => full.to_vec(),
            Self::Quick => quick.to_vec(),
        }
    }
}

/// A point file and the function that measures its points.
pub struct Source {
    /// The file's name.
    pub file: &'static str,
    /// Subject of the measurement, for progress messages.
    pub description: &'static str,
    /// Measures all points of the file.
    pub measure: fn(Extent) -> MeasureResult<Vec<Point>>,
}

/// All sources, the slowest last.
pub const SOURCES: [Source; 9] = [
    Source { file: "memory.csv", description: "memory of the roles' states", measure: memory },
    Source { file: "directory.csv", description: "updates of the directory", measure: directory },
    Source {
        file: super::roles::MEMBERSHIP_SMALL,
        description: "members in virtual time, small sizes",
        measure: small_clusters,
    },
    Source { file: "permits.csv", description: "permits", measure: permits },
    Source { file: "admission.csv", description: "admission control", measure: admission },
    Source { file: "routing.csv", description: "routing between sites", measure: routing },
    Source { file: "journals.csv", description: "journals", measure: journals },
    Source { file: "watch.csv", description: "the worker list", measure: watch },
    Source { file: "module.csv", description: "the decision module", measure: module },
];

/// Microseconds of the fastest of some rounds; other load on the machine can only add time.
fn best_us(rounds: usize, mut run: impl FnMut()) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..rounds {
        let start_time = Instant::now();
        run();
        best = best.min(start_time.elapsed().as_secs_f64() * 1e6);
    }
    best
}

// ---- memory ------------------------------------------------------------------------------------------------

/// The state whose memory a probe measures. Each probe runs in a process of its own, because in one that has already
/// freed memory the resident size would not grow by what is built.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Probe {
    /// The decision module with functions at few workers.
    ModuleByFunctions,
    /// The decision module with workers and one function.
    ModuleByWorkers,
    /// The instance directory with entries.
    Directory,
    /// The membership view of one member, in a cluster that has run for 10 s.
    Membership,
    /// The observations of a permit leader, by number of subjects.
    PermitsSight,
    /// Permit nodes, by number of members.
    PermitsMembers,
    /// An admission controller with the load of other members, by number of members.
    Admission,
    /// A routing controller, by number of functions.
    Routing,
    /// Journaled events at writer and holder, by number of events.
    Journals,
    /// A parsed list of workers, by number of workers.
    Watch,
}

impl Probe {
    /// All probes with their series and sizes.
    const ALL: [(Self, &'static str, [u32; 4]); 10] = [
        (Self::ModuleByFunctions, "module_memory_by_functions", [2_000, 10_000, 20_000, 38_000]),
        (Self::ModuleByWorkers, "module_memory_by_workers", [500, 1_000, 2_000, 5_000]),
        (Self::Directory, "directory_memory", [2_048, 4_096, 8_192, 16_384]),
        (Self::Membership, "membership_memory", [50, 100, 200, 300]),
        (Self::PermitsSight, "permits_sight_memory", [1_000, 2_000, 4_000, 8_000]),
        (Self::PermitsMembers, "permits_members_memory", [500, 1_000, 2_000, 4_000]),
        (Self::Admission, "admission_memory", [100, 400, 1_000, 1_900]),
        (Self::Routing, "routing_memory", [2_000, 10_000, 20_000, 38_000]),
        (Self::Journals, "journals_memory", [2_048, 4_096, 8_192, 16_384]),
        (Self::Watch, "watch_memory", [500, 1_000, 2_000, 5_000]),
    ];

    /// Builds the state and prints its size: bytes by which the resident memory of this process grew for one instance.
    ///
    /// # Errors
    /// If the state can't be built or the resident size can't be read.
    pub fn run(self, size: u32) -> MeasureResult<()> {
        let (short, count) = (size as MemberId, size as usize);
        let bytes = match self {
            Self::ModuleByFunctions => memory_growth(1, || Ok(Driver::new(module_load(60, count, 0))?)),
            Self::ModuleByWorkers => memory_growth(4, || Ok(Driver::new(module_load(count, 1, 0))?)),
            Self::Directory => {
                let datagrams = published_datagrams(count);
                memory_growth(4, || Ok(receiving_directory(count, &datagrams)))
            }
            Self::Membership => Ok(memory_growth(1, || settled_cluster(short))? / f64::from(size)),
            Self::PermitsSight => memory_growth(8, || Ok(observations(size))),
            Self::PermitsMembers => memory_growth(1, || {
                let each = |of: u32| PermitMember::new(PermitSettings::new(8, 3, of, 1), 0);
                Ok((0..size).map(each).collect::<Result<Vec<_>, _>>()?)
            }),
            Self::Admission => memory_growth(8, || controller_with_peer_load(short, 12)),
            Self::Routing => memory_growth(4, || routing_controller(count)),
            Self::Journals => memory_growth(1, || pending::ended_events(size.into(), 500)),
            Self::Watch => {
                let text = worker_list(count);
                memory_growth(4, || Ok(serde_json::from_str::<Vec<Target>>(&text)?))
            }
        }?;
        println!("{bytes}");
        Ok(())
    }
}

/// Bytes by which this process grows for one instance. Several instances are built and stay in memory at once, so that
/// the granularity of memory pages does not show.
fn memory_growth<T>(times: usize, build: impl Fn() -> MeasureResult<T>) -> MeasureResult<f64> {
    let before = resident()?;
    let built = (0..times).map(|_| build()).collect::<MeasureResult<Vec<T>>>()?;
    let grown = (resident()? - before).max(0.0) / times as f64;
    drop(black_box(built));
    Ok(grown)
}

/// A cluster whose members were started together and have run for 10 s.
fn settled_cluster(size: MemberId) -> MeasureResult<VirtualCluster> {
    let mut cluster = VirtualCluster::new(MembershipSettings::new(size, 0, 0, 1), LinkFaults::default());
    cluster.node_ids().for_each(|of| cluster.start(of));
    cluster.run_for(10 * SECOND_US);
    Ok(cluster)
}

fn memory(extent: Extent) -> MeasureResult<Vec<Point>> {
    let program = std::env::current_exe()?;
    let mut points = Vec::new();
    for (probe, series, sizes) in Probe::ALL {
        for size in sizes.into_iter().take(extent.select(&[4], &[3])[0]) {
            let name = probe.to_possible_value().ok_or("the probe has no command line name")?;
            let size_argument = size.to_string();
            let arguments = ["capacity-probe", name.get_name(), &size_argument];
            let output = std::process::Command::new(&program).args(arguments).output()?;
            let bytes: f64 = String::from_utf8(output.stdout)?.trim().parse()?;
            points.push(Point::new(series, f64::from(size), bytes, "bytes"));
        }
    }
    Ok(points)
}

/// The load of the decision module in one scheduler of the plan.
fn module_load(workers: usize, functions: usize, calls: u64) -> Load {
    let (plan, assumptions) = (Plan::USERS, Assumptions::USUAL);
    Load {
        calls_per_s: plan.calls_per_scheduler(),
        skew: assumptions.skew(&plan),
        schedulers: plan.schedulers as u32,
        answer_us: 100_000,
        keep_us: Some((assumptions.keep_s * 1e6) as Micros),
        memory_mb: (65_536.0, 64.0),
        prefilled: true,
        fleet_calls_per_s: Some(plan.calls_per_s),
        ..Load::single_scheduler(workers, functions, calls)
    }
}

// ---- directory ---------------------------------------------------------------------------------------------

/// How long an unused instance stays loaded.
const KEEP_US: Micros = 600 * SECOND_US;
/// Workers over which the entries are spread.
const DIRECTORY_WORKERS: usize = 64;

fn worker_address(at: usize) -> String {
    format!("10.0.0.{at}:7000")
}

/// An empty directory of scheduler `own`, of 1,900 schedulers, with its list of workers.
fn new_directory(own: u32) -> InstanceDirectory {
    let mut directory = InstanceDirectory::new(0, (own, 1_899), KEEP_US);
    let members: Vec<Member> = (0..DIRECTORY_WORKERS).map(|at| Member::active(&worker_address(at))).collect();
    directory.update_members(MembersKind::Whole, &members);
    directory
}

/// The datagrams in which a scheduler publishes this number of directory entries.
fn published_datagrams(facts: usize) -> Vec<Vec<u8>> {
    let mut directory = new_directory(0);
    for fact in 0..facts {
        let (worker, function) =
            (worker_address(fact % DIRECTORY_WORKERS), format!("function-{}", fact / DIRECTORY_WORKERS));
        directory.observe(SECOND_US, &worker.as_str().into(), &function.as_str().into(), 1);
    }
    let mut datagrams = Vec::new();
    let mut now = 10 * SECOND_US;
    while let Some(bytes) = directory.next_datagram(now) {
        datagrams.push(bytes);
        now += 1;
    }
    datagrams
}

/// The directory of a scheduler that has received these datagrams.
fn receiving_directory(facts: usize, datagrams: &[Vec<u8>]) -> InstanceDirectory {
    let mut directory = new_directory(1);
    // This scheduler receives calls for every tenth function.
    for function in (0..facts / DIRECTORY_WORKERS).step_by(10) {
        directory.note_call(SECOND_US, &format!("function-{function}").as_str().into());
    }
    datagrams.iter().for_each(|bytes| directory.receive(10 * SECOND_US, 0, bytes));
    black_box(directory.take_reports());
    directory
}

fn directory(extent: Extent) -> MeasureResult<Vec<Point>> {
    let mut points = Vec::new();
    for facts in extent.select(&[2_048, 4_096, 8_192, 16_384], &[1_024, 2_048, 4_096]) {
        let datagrams = published_datagrams(facts);
        let bytes: usize = datagrams.iter().map(Vec::len).sum();
        points.push(Point::new("directory_told_bytes", facts as f64, bytes as f64, "bytes"));
        let us = best_us(5, || {
            black_box(receiving_directory(facts, &datagrams));
        });
        points.push(Point::new("directory_heard_us", facts as f64, us, "us"));
    }
    Ok(points)
}

// ---- membership --------------------------------------------------------------------------------------------

/// Members that have not agreed after this time count as not settled.
const SETTLE_TIMEOUT: Micros = 60 * SECOND_US;
/// Share of datagrams lost, 0 to 1.
const LOSS_RATE: f64 = 0.05;
/// Seeds over which the values are averaged.
const SEEDS: u64 = 3;

/// Settling times and traffic of small fleets in virtual time, used where no scale run is on record.
fn small_clusters(extent: Extent) -> MeasureResult<Vec<Point>> {
    let mut points = Vec::new();
    for size in extent.select(&[50, 100, 200, 300], &[10, 20, 40]) {
        let (mut start, mut death, mut quiet) = (0.0, 0.0, 0.0);
        for seed in 1..=SEEDS {
            let settings = MembershipSettings::new(size, 0, 0, seed);
            let mut cluster =
                VirtualCluster::new(settings, LinkFaults { loss_rate: LOSS_RATE, ..LinkFaults::default() });
            let all: Vec<MemberId> = cluster.node_ids().collect();
            let agreed = |cluster: &mut VirtualCluster| {
                let from = cluster.now;
                let at = cluster.run_until_condition(from + SETTLE_TIMEOUT, |cluster| cluster.agrees(&all));
                at.map(|at| (at - from) as f64 / 1e3).ok_or("the members did not agree within 60 s")
            };
            all.iter().for_each(|of| cluster.start(*of));
            start += agreed(&mut cluster)?;
            cluster.run_for(5 * SECOND_US);
            let before = cluster.counters().sent.1;
            cluster.run_for(10 * SECOND_US);
            quiet += (cluster.counters().sent.1 - before) as f64 / 10.0 / f64::from(size);
            cluster.kill(size / 3);
            death += agreed(&mut cluster)?;
        }
        let mut add = |series, sum: f64, unit: &str| {
            let point = Point::new(series, size.into(), sum / SEEDS as f64, unit);
            points.push(Point { lost: LOSS_RATE.to_string(), seeds: SEEDS.to_string(), ..point });
        };
        add("settle_start_ms", start, "ms");
        add("settle_kill_one_ms", death, "ms");
        add("bytes_per_s_quiet", quiet, "bytes/s");
    }
    Ok(points)
}

// ---- permits -----------------------------------------------------------------------------------------------

/// Observations of subjects in seven zones, all in use.
fn observations(subjects: u32) -> Observations {
    let seen = |of: u32| Observation {
        zone: (of % 7) as u8,
        incarnation: 1,
        in_use_for: Some(60 * SECOND_US),
        holds_last_copy: false,
        running_version: None,
    };
    (0..subjects).map(|of| (Subject::Worker(of), seen(of))).collect()
}

fn permits(extent: Extent) -> MeasureResult<Vec<Point>> {
    let mut points = Vec::new();
    for subjects in extent.select(&[1_000, 2_000, 4_000, 8_000], &[1_000, 2_000, 4_000]) {
        let us = best_us(5, || {
            // For each request the leader collects its observations and then counts them against the bounds.
            let observations = observations(subjects);
            _ = black_box(grant_permit(
                &PermitState::default(),
                &observations,
                &Bounds::default(),
                Subject::Worker(1),
            ));
        });
        points.push(Point::new("permits_request_us", subjects.into(), us, "us"));
    }
    for size in extent.select(&[8, 32, 64, 128], &[8, 16, 32]) {
        let settings = PermitSettings::new(size, 0, 0, 1);
        let mut fleet = VirtualFleet::new(
            size,
            settings,
            observations(40),
            LinkFaults { loss_rate: 0.05, ..LinkFaults::default() },
        );
        fleet.net.node_ids().for_each(|of| fleet.start(of));
        fleet.run(fleet.net.now + 30 * SECOND_US);
        let (from, before) = (fleet.net.now, fleet.permit_bytes_sent());
        fleet.run(from + 20 * SECOND_US);
        let bytes_per_s = (fleet.permit_bytes_sent() - before) as f64 / 20.0;
        let point = Point::new("permits_all_bytes_per_s", size.into(), bytes_per_s, "bytes/s");
        points.push(Point { lost: "0.05".into(), ..point });
    }
    Ok(points)
}

// ---- admission control -------------------------------------------------------------------------------------

fn site_map(gateways: MemberId, own: MemberId) -> MeasureResult<SiteMap> {
    let sites = (0..gateways).map(|of| (of % 7) as Site).collect();
    Ok(SiteMap::new(sites, own).ok_or("no such gateway")?)
}

fn new_controller(gateways: MemberId, own: MemberId, pairs: usize) -> MeasureResult<AdmissionController> {
    let class = ClassSettings { value: 1.0, aim: 400_000, deadline: 3 * SECOND_US };
    let settings = AdmissionSettings::new(vec![class], vec![100.0; pairs], site_map(gateways, own)?);
    Ok(AdmissionController::new(0, settings)?)
}

fn counts(pairs: usize, tick: u64) -> LoopCounts {
    let count = |pair: usize| {
        let first = 1 + ((pair as u64 * 7 + tick * 13) % 40) as u32;
        CellCounts { first_attempts: first, served: first, total_wait: 1_000, ..CellCounts::default() }
    };
    LoopCounts { span: SECOND_US / 2, by_cell: (0..pairs).map(count).collect(), in_flight: 4 }
}

/// The controller of one gateway that has received the load facts of all others.
fn controller_with_peer_load(size: MemberId, pairs: usize) -> MeasureResult<AdmissionController> {
    let mut sender = new_controller(size, 1, pairs)?;
    sender.record_counts(SECOND_US, 0, &counts(pairs, 1));
    let facts = sender.take_due_facts(SECOND_US);
    let mut receiver = new_controller(size, 0, pairs)?;
    for from in 1..size {
        facts.iter().for_each(|(key, value)| receiver.receive_fact(SECOND_US, from, *key, value));
    }
    Ok(receiver)
}

fn admission(extent: Extent) -> MeasureResult<Vec<Point>> {
    let mut points = Vec::new();
    for size in extent.select(&[100, 400, 1_000, 1_900], &[100, 200, 400]) {
        let mut controller = controller_with_peer_load(size, 12)?;
        let live = vec![true; size.into()];
        let mut now = SECOND_US;
        let us = best_us(20, || {
            now += 100_000;
            controller.record_counts(now, 0, &counts(12, now));
            black_box(controller.compute_table(now, &live));
        });
        points.push(Point::new("admission_table_us", size.into(), us, "us"));
    }
    for pairs in extent.select(&[1, 4, 8, 12, 24], &[1, 4, 12]) {
        let mut controller = new_controller(10, 0, pairs)?;
        let (mut facts, mut bytes) = (0, 0);
        let ticks = 40;
        for tick in 0..ticks {
            let now = tick * SECOND_US / 2;
            controller.record_counts(now, 0, &counts(pairs, tick));
            let due = controller.take_due_facts(now);
            facts += due.len();
            bytes += due.iter().map(|(_, value)| value.len()).sum::<usize>();
        }
        let seconds = ticks as f64 / 2.0;
        points.push(Point::new("admission_facts_per_s", pairs as f64, facts as f64 / seconds, "facts/s"));
        points.push(Point::new(
            "admission_value_bytes_per_s",
            pairs as f64,
            bytes as f64 / seconds,
            "bytes/s",
        ));
    }
    for size in extent.select(&[16, 32, 64, 128, 256], &[8, 16, 32]) {
        let bytes = bytes_per_fact(size)?;
        points.push(Point::new("fact_carried_bytes", size.into(), bytes, "bytes"));
    }
    Ok(points)
}

/// Facts a second of the whole fleet while the cost of one is measured. Few, so that the datagrams can carry them all.
const FACTS_PER_S: u64 = 5;
/// Length of the value of a fact.
const FACT_BYTES: usize = 30;
/// Time over which bytes are counted, without facts and with them.
const SPAN_S: u64 = 20;

/// Bytes that each member sends for each fact that any member publishes.
fn bytes_per_fact(size: MemberId) -> MeasureResult<f64> {
    let settings =
        MembershipSettings { bytes_per_s: 100_000, burst: 100_000, ..MembershipSettings::new(size, 0, 0, 1) };
    let mut cluster = VirtualCluster::new(settings, LinkFaults::default());
    let all: Vec<MemberId> = cluster.node_ids().collect();
    all.iter().for_each(|of| cluster.start(*of));
    cluster
        .run_until_condition(60 * SECOND_US, |cluster| cluster.agrees(&all))
        .ok_or("the members did not agree within 60 s")?;
    cluster.run_for(5 * SECOND_US);
    let sent = |cluster: &VirtualCluster| cluster.counters().sent.1 as f64;
    let before = sent(&cluster);
    cluster.run_for(SPAN_S * SECOND_US);
    let quiet = sent(&cluster) - before;
    let before = sent(&cluster);
    for fact in 0..SPAN_S * FACTS_PER_S {
        let by = cluster.random_below(size.into()) as MemberId;
        let value = [fact as u8; FACT_BYTES];
        cluster.with_node(by, |view, now, _| {
            view.publish_fact(now, 3, &value, 5 * SECOND_US);
        });
        cluster.run_for(SECOND_US / FACTS_PER_S);
    }
    let extra = sent(&cluster) - before - quiet;
    Ok(extra / f64::from(size) / (SPAN_S * FACTS_PER_S) as f64)
}

// ---- routing -----------------------------------------------------------------------------------------------

fn routing_controller(functions: usize) -> MeasureResult<RoutingController> {
    let spec = FunctionSpec {
        memory_mb: 256,
        lanes: 4,
        load_time: Some(800_000),
        aim: 400_000,
        deadline: 3 * SECOND_US,
    };
    let settings = RoutingSettings::new(site_map(70, 0)?, vec![spec; functions], 16_384, 0);
    Ok(RoutingController::new(settings, 0)?)
}

fn routing(extent: Extent) -> MeasureResult<Vec<Point>> {
    let mut points = Vec::new();
    for gateways in extent.select(&[100, 400, 1_000, 1_900], &[28, 56, 112]) {
        let sample = route::grow::measure(7, gateways)?;
        let mut add = |series, value, unit| points.push(Point::new(series, gateways.into(), value, unit));
        add("routing_teller_bytes_per_s", sample.max_bytes_per_s, "bytes/s");
        add("routing_median_bytes_per_s", sample.median_bytes_per_s, "bytes/s");
        add("routing_tell_us", sample.build_us, "us");
        add("routing_table_us", sample.table_us, "us");
    }
    Ok(points)
}

// ---- journals ----------------------------------------------------------------------------------------------

fn journals(extent: Extent) -> MeasureResult<Vec<Point>> {
    let mut points = Vec::new();
    for body in extent.select(&[0, 250, 500, 1_000, 4_000], &[0, 500, 1_000]) {
        let traffic = pending::traffic(1_280, 1, body)?;
        let bytes = (traffic.bytes_to_holder + traffic.bytes_to_writer) as f64 / 1_280.0;
        points.push(Point::new("journals_event_bytes", body as f64, bytes, "bytes"));
    }
    for events in extent.select(&[1_280_u32, 2_560, 5_120, 10_240], &[1_280, 2_560, 3_840]) {
        let mut best = f64::MAX;
        for _ in 0..5 {
            best = best.min(pending::run_seconds(events.into(), 1, 500)? * 1e6);
        }
        points.push(Point::new("journals_events_us", events.into(), best, "us"));
    }
    Ok(points)
}

// ---- the worker list ---------------------------------------------------------------------------------------

/// A list of workers as JSON, in the platform's format.
fn worker_list(workers: usize) -> String {
    let target = |of: usize| {
        format!(
            "{{\"uid\":\"worker-{of:08x}\",\"endpoint\":\"10.1.{}.{}:7000\",\"az\":\"zone-{}\",\"model\":\"standard\",\
             \"pod_group\":{},\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":1800000000000}}",
            of / 250 % 250,
            of % 250,
            of % 7,
            of / 40
        )
    };
    format!("[{}]", (0..workers).map(target).collect::<Vec<_>>().join(","))
}

fn watch(extent: Extent) -> MeasureResult<Vec<Point>> {
    let mut points = Vec::new();
    for workers in extent.select(&[500, 1_000, 2_000, 5_000], &[500, 1_000, 2_000]) {
        let text = worker_list(workers);
        points.push(Point::new("watch_list_bytes", workers as f64, text.len() as f64, "bytes"));
        let us = best_us(5, || {
            _ = black_box(serde_json::from_str::<Vec<Target>>(&text));
        });
        points.push(Point::new("watch_parse_us", workers as f64, us, "us"));
    }
    Ok(points)
}

// ---- the module --------------------------------------------------------------------------------------------

/// Series of the decision module end with this and the number of functions held.
pub const FUNCTIONS_SUFFIX: &str = "/functions=";

fn module(extent: Extent) -> MeasureResult<Vec<Point>> {
    let (calls, warm_up, new) = match extent {
        Extent::Full => (1_500, 1_500, 200),
        Extent::Quick => (300, 300, 50),
    };
    let workers = extent.select(&[60, 600, 2_000, 5_000], &[60, 600, 1_200]);
    let mut points = Vec::new();
    for workers in &workers {
        let load = Load { only_new_functions: true, ..module_load(*workers, 100, new) };
        let cost = Driver::new(load)?.run();
        points.push(Point::new("module_new_us", *workers as f64, cost.call_us, "us"));
    }
    for functions in extent.select(&[2_000, 10_000, 38_000], &[500, 2_000]) {
        for workers in &workers {
            let load = Load { warm_up, ..module_load(*workers, functions, calls) };
            let cost = Driver::new(load)?.run();
            let mut add = |series: &str, value, unit| {
                let series = format!("{series}{FUNCTIONS_SUFFIX}{functions}");
                points.push(Point::new(&series, *workers as f64, value, unit));
            };
            add("module_call_us", cost.call_us, "us");
            add("module_sweep_us_per_s", cost.sweep_us_per_s, "us/s");
            add("module_looks_per_call", cost.evaluations_per_call, "looks");
            add("module_worst_us", cost.worst_us, "us");
        }
    }
    Ok(points)
}
