//! The slopes that this command measures by itself: small bounded runs of the state machines alone, no sockets.

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

type Measured<T> = Result<T, Box<dyn Error>>;

const S: Micros = 1_000_000;

/// How much is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// All sizes: some minutes.
    Whole,
    /// The smallest sizes: some seconds.
    Quick,
}

impl Extent {
    fn of<T: Copy>(self, whole: &[T], quick: &[T]) -> Vec<T> {
        match self {
            Self::Whole => whole.to_vec(),
            Self::Quick => quick.to_vec(),
        }
    }
}

/// A file of points and what measures it.
pub struct Source {
    /// The file's name.
    pub file: &'static str,
    /// What it is about.
    pub what: &'static str,
    /// Measures.
    pub measure: fn(Extent) -> Measured<Vec<Point>>,
}

/// All sources, those that take longest last.
pub const SOURCES: [Source; 9] = [
    Source { file: "memory.csv", what: "memory of the roles' states", measure: memory },
    Source { file: "directory.csv", what: "updates of the directory", measure: directory },
    Source { file: super::roles::SMALL, what: "members in virtual time, small sizes", measure: members },
    Source { file: "permits.csv", what: "permits", measure: permits },
    Source { file: "admission.csv", what: "admission control", measure: admission },
    Source { file: "routing.csv", what: "routing between sites", measure: routing },
    Source { file: "journals.csv", what: "journals", measure: journals },
    Source { file: "watch.csv", what: "the worker list", measure: watch },
    Source { file: "module.csv", what: "the decision module", measure: module },
];

/// Microseconds of the best of some rounds: what else runs on the machine only adds.
fn best_us(rounds: usize, mut run: impl FnMut()) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..rounds {
        let began = Instant::now();
        run();
        best = best.min(began.elapsed().as_secs_f64() * 1e6);
    }
    best
}

// ---- memory ------------------------------------------------------------------------------------------------

/// What a probe builds, its memory's growth being read in a process of its own: one that has freed nothing yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Probe {
    /// The module with functions at few workers.
    ModuleByFunctions,
    /// The module with workers and one function.
    ModuleByWorkers,
    /// The directory with facts.
    Directory,
    /// One member's view, of members that have run for 10 s.
    Membership,
    /// What a leader sees of so many subjects.
    PermitsSight,
    /// So many members' parts in permits.
    PermitsMembers,
    /// What admission control knows of so many members.
    Admission,
    /// Routes of so many functions.
    Routing,
    /// So many kept events at writer and holder.
    Journals,
    /// A list of so many workers.
    Watch,
}

impl Probe {
    /// With its series and sizes.
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

    /// Builds and prints by how many bytes this process has grown for one of them.
    pub fn run(self, size: u32) -> Measured<()> {
        let (short, count) = (size as MemberId, size as usize);
        let bytes = match self {
            Self::ModuleByFunctions => growth(1, || Ok(Driver::new(module_load(60, count, 0))?)),
            Self::ModuleByWorkers => growth(4, || Ok(Driver::new(module_load(count, 1, 0))?)),
            Self::Directory => {
                let datagrams = told(count);
                growth(4, || Ok(heard(count, &datagrams)))
            }
            Self::Membership => Ok(growth(1, || settled(short))? / f64::from(size)),
            Self::PermitsSight => growth(8, || Ok(sight(size))),
            Self::PermitsMembers => growth(1, || {
                let each = |of: u32| PermitMember::new(PermitSettings::new(8, 3, of, 1), 0);
                Ok((0..size).map(each).collect::<Result<Vec<_>, _>>()?)
            }),
            Self::Admission => growth(8, || fellows(short, 12)),
            Self::Routing => growth(4, || router(count)),
            Self::Journals => growth(1, || pending::held(size.into(), 500)),
            Self::Watch => {
                let text = list(count);
                growth(4, || Ok(serde_json::from_str::<Vec<Target>>(&text)?))
            }
        }?;
        println!("{bytes}");
        Ok(())
    }
}

/// Bytes by which this process grows for one of some that are built and kept: several, so that pages do not show.
fn growth<T>(times: usize, build: impl Fn() -> Measured<T>) -> Measured<f64> {
    let before = resident()?;
    let kept = (0..times).map(|_| build()).collect::<Measured<Vec<T>>>()?;
    let grown = (resident()? - before).max(0.0) / times as f64;
    drop(black_box(kept));
    Ok(grown)
}

/// Members that have started together and run for 10 s.
fn settled(size: MemberId) -> Measured<VirtualCluster> {
    let mut world = VirtualCluster::new(MembershipSettings::new(size, 0, 0, 1), LinkFaults::default());
    world.node_ids().for_each(|of| world.start(of));
    world.run_for(10 * S);
    Ok(world)
}

fn memory(extent: Extent) -> Measured<Vec<Point>> {
    let program = std::env::current_exe()?;
    let mut points = Vec::new();
    for (probe, series, sizes) in Probe::ALL {
        for size in sizes.into_iter().take(extent.of(&[4], &[3])[0]) {
            let name = probe.to_possible_value().ok_or("a probe without a name")?;
            let size_text = size.to_string();
            let arguments = ["capacity-probe", name.get_name(), &size_text];
            let output = std::process::Command::new(&program).args(arguments).output()?;
            let bytes: f64 = String::from_utf8(output.stdout)?.trim().parse()?;
            points.push(Point::new(series, f64::from(size), bytes, "bytes"));
        }
    }
    Ok(points)
}

/// The module as one scheduler of the plan runs it.
fn module_load(workers: usize, functions: usize, calls: u64) -> Load {
    let (plan, open) = (Plan::USERS, Assumptions::USUAL);
    Load {
        calls_per_s: plan.calls_of_one(),
        skew: open.skew(&plan),
        schedulers: plan.schedulers as u32,
        answer_us: 100_000,
        keep_us: Some((open.keep_s * 1e6) as Micros),
        memory_mb: (65_536.0, 64.0),
        filled: true,
        fleet_calls_per_s: Some(plan.calls_per_s),
        ..Load::of_one(workers, functions, calls)
    }
}

// ---- directory ---------------------------------------------------------------------------------------------

/// An instance that is not used stands so long.
const KEEP_US: Micros = 600 * S;
const WORKERS_TOLD: usize = 64;

fn told_worker(at: usize) -> String {
    format!("10.0.0.{at}:7000")
}

fn listener(own: u32) -> InstanceDirectory {
    let mut words = InstanceDirectory::new(0, (own, 1_899), KEEP_US);
    let members: Vec<Member> = (0..WORKERS_TOLD).map(|at| Member::active(&told_worker(at))).collect();
    words.update_members(MembersKind::Whole, &members);
    words
}

/// The datagrams in which a scheduler tells so many facts.
fn told(facts: usize) -> Vec<Vec<u8>> {
    let mut words = listener(0);
    for fact in 0..facts {
        let (worker, function) =
            (told_worker(fact % WORKERS_TOLD), format!("function-{}", fact / WORKERS_TOLD));
        words.observe(S, &worker.as_str().into(), &function.as_str().into(), 1);
    }
    let mut datagrams = Vec::new();
    let mut now = 10 * S;
    while let Some(bytes) = words.next_datagram(now) {
        datagrams.push(bytes);
        now += 1;
    }
    datagrams
}

/// A scheduler that has heard them.
fn heard(facts: usize, datagrams: &[Vec<u8>]) -> InstanceDirectory {
    let mut words = listener(1);
    // It has calls for every tenth of the functions.
    for function in (0..facts / WORKERS_TOLD).step_by(10) {
        words.note_call(S, &format!("function-{function}").as_str().into());
    }
    datagrams.iter().for_each(|bytes| words.receive(10 * S, 0, bytes));
    black_box(words.take_reports());
    words
}

fn directory(extent: Extent) -> Measured<Vec<Point>> {
    let mut points = Vec::new();
    for facts in extent.of(&[2_048, 4_096, 8_192, 16_384], &[1_024, 2_048, 4_096]) {
        let datagrams = told(facts);
        let bytes: usize = datagrams.iter().map(Vec::len).sum();
        points.push(Point::new("directory_told_bytes", facts as f64, bytes as f64, "bytes"));
        let us = best_us(5, || {
            black_box(heard(facts, &datagrams));
        });
        points.push(Point::new("directory_heard_us", facts as f64, us, "us"));
    }
    Ok(points)
}

// ---- membership --------------------------------------------------------------------------------------------

/// Members agree within this, or did not.
const PATIENCE: Micros = 60 * S;
/// Share of datagrams lost.
const LOST: f64 = 0.05;
const SEEDS: u64 = 3;

/// What small fleets take in virtual time, for where no scale run is on record.
fn members(extent: Extent) -> Measured<Vec<Point>> {
    let mut points = Vec::new();
    for size in extent.of(&[50, 100, 200, 300], &[10, 20, 40]) {
        let (mut start, mut death, mut quiet) = (0.0, 0.0, 0.0);
        for seed in 1..=SEEDS {
            let settings = MembershipSettings::new(size, 0, 0, seed);
            let mut world =
                VirtualCluster::new(settings, LinkFaults { loss_rate: LOST, ..LinkFaults::default() });
            let all: Vec<MemberId> = world.node_ids().collect();
            let agreed = |world: &mut VirtualCluster| {
                let from = world.now;
                let at = world.run_until_condition(from + PATIENCE, |world| world.agrees(&all));
                at.map(|at| (at - from) as f64 / 1e3).ok_or("the members did not agree")
            };
            all.iter().for_each(|of| world.start(*of));
            start += agreed(&mut world)?;
            world.run_for(5 * S);
            let before = world.counters().sent.1;
            world.run_for(10 * S);
            quiet += (world.counters().sent.1 - before) as f64 / 10.0 / f64::from(size);
            world.kill(size / 3);
            death += agreed(&mut world)?;
        }
        let mut add = |series, sum: f64, unit: &str| {
            let point = Point::new(series, size.into(), sum / SEEDS as f64, unit);
            points.push(Point { lost: LOST.to_string(), seeds: SEEDS.to_string(), ..point });
        };
        add("settle_start_ms", start, "ms");
        add("settle_kill_one_ms", death, "ms");
        add("bytes_per_s_quiet", quiet, "bytes/s");
    }
    Ok(points)
}

// ---- permits -----------------------------------------------------------------------------------------------

/// So many subjects in seven zones, all in use.
fn sight(subjects: u32) -> Observations {
    let seen = |of: u32| Observation {
        zone: (of % 7) as u8,
        incarnation: 1,
        in_use_for: Some(60 * S),
        holds_last_copy: false,
        running_version: None,
    };
    (0..subjects).map(|of| (Subject::Worker(of), seen(of))).collect()
}

fn permits(extent: Extent) -> Measured<Vec<Point>> {
    let mut points = Vec::new();
    for subjects in extent.of(&[1_000, 2_000, 4_000, 8_000], &[1_000, 2_000, 4_000]) {
        let us = best_us(5, || {
            // What a request costs the leader: what it sees is put together, then counted.
            let sight = sight(subjects);
            _ = black_box(grant_permit(
                &PermitState::default(),
                &sight,
                &Bounds::default(),
                Subject::Worker(1),
            ));
        });
        points.push(Point::new("permits_request_us", subjects.into(), us, "us"));
    }
    for size in extent.of(&[8, 32, 64, 128], &[8, 16, 32]) {
        let settings = PermitSettings::new(size, 0, 0, 1);
        let mut fleet = VirtualFleet::new(
            size,
            settings,
            sight(40),
            LinkFaults { loss_rate: 0.05, ..LinkFaults::default() },
        );
        fleet.net.node_ids().for_each(|of| fleet.start(of));
        fleet.run(fleet.net.now + 30 * S);
        let (from, before) = (fleet.net.now, fleet.permit_bytes_sent());
        fleet.run(from + 20 * S);
        let bytes_per_s = (fleet.permit_bytes_sent() - before) as f64 / 20.0;
        let point = Point::new("permits_all_bytes_per_s", size.into(), bytes_per_s, "bytes/s");
        points.push(Point { lost: "0.05".into(), ..point });
    }
    Ok(points)
}

// ---- admission control -------------------------------------------------------------------------------------

fn places(gateways: MemberId, own: MemberId) -> Measured<SiteMap> {
    let sites = (0..gateways).map(|of| (of % 7) as Site).collect();
    Ok(SiteMap::new(sites, own).ok_or("no such gateway")?)
}

fn door(gateways: MemberId, own: MemberId, pairs: usize) -> Measured<AdmissionController> {
    let class = ClassSettings { value: 1.0, aim: 400_000, deadline: 3 * S };
    let settings = AdmissionSettings::new(vec![class], vec![100.0; pairs], places(gateways, own)?);
    Ok(AdmissionController::new(0, settings)?)
}

fn counts(pairs: usize, tick: u64) -> LoopCounts {
    let count = |pair: usize| {
        let first = 1 + ((pair as u64 * 7 + tick * 13) % 40) as u32;
        CellCounts { first_attempts: first, served: first, total_wait: 1_000, ..CellCounts::default() }
    };
    LoopCounts { span: S / 2, by_cell: (0..pairs).map(count).collect(), in_flight: 4 }
}

/// One gateway that has heard the load of all others.
fn fellows(size: MemberId, pairs: usize) -> Measured<AdmissionController> {
    let mut teller = door(size, 1, pairs)?;
    teller.record_counts(S, 0, &counts(pairs, 1));
    let facts = teller.take_due_facts(S);
    let mut hearer = door(size, 0, pairs)?;
    for from in 1..size {
        facts.iter().for_each(|(key, value)| hearer.receive_fact(S, from, *key, value));
    }
    Ok(hearer)
}

fn admission(extent: Extent) -> Measured<Vec<Point>> {
    let mut points = Vec::new();
    for size in extent.of(&[100, 400, 1_000, 1_900], &[100, 200, 400]) {
        let mut one = fellows(size, 12)?;
        let live = vec![true; size.into()];
        let mut now = S;
        let us = best_us(20, || {
            now += 100_000;
            one.record_counts(now, 0, &counts(12, now));
            black_box(one.compute_table(now, &live));
        });
        points.push(Point::new("admission_table_us", size.into(), us, "us"));
    }
    for pairs in extent.of(&[1, 4, 8, 12, 24], &[1, 4, 12]) {
        let mut one = door(10, 0, pairs)?;
        let (mut facts, mut bytes) = (0, 0);
        let ticks = 40;
        for tick in 0..ticks {
            let now = tick * S / 2;
            one.record_counts(now, 0, &counts(pairs, tick));
            let told = one.take_due_facts(now);
            facts += told.len();
            bytes += told.iter().map(|(_, value)| value.len()).sum::<usize>();
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
    for size in extent.of(&[16, 32, 64, 128, 256], &[8, 16, 32]) {
        let bytes = carried(size)?;
        points.push(Point::new("fact_carried_bytes", size.into(), bytes, "bytes"));
    }
    Ok(points)
}

/// Facts a second of the whole fleet while what one costs is measured: few, or datagrams would be too few for them.
const FACTS_PER_S: u64 = 5;
const FACT_BYTES: usize = 30;
const SPAN_S: u64 = 20;

/// Bytes that each member sends for each fact that any of them tells.
fn carried(size: MemberId) -> Measured<f64> {
    let settings =
        MembershipSettings { bytes_per_s: 100_000, burst: 100_000, ..MembershipSettings::new(size, 0, 0, 1) };
    let mut world = VirtualCluster::new(settings, LinkFaults::default());
    let all: Vec<MemberId> = world.node_ids().collect();
    all.iter().for_each(|of| world.start(*of));
    world.run_until_condition(60 * S, |world| world.agrees(&all)).ok_or("the members did not agree")?;
    world.run_for(5 * S);
    let sent = |world: &VirtualCluster| world.counters().sent.1 as f64;
    let before = sent(&world);
    world.run_for(SPAN_S * S);
    let quiet = sent(&world) - before;
    let before = sent(&world);
    for fact in 0..SPAN_S * FACTS_PER_S {
        let by = world.random_below(size.into()) as MemberId;
        let value = [fact as u8; FACT_BYTES];
        world.with_node(by, |view, now, _| {
            view.publish_fact(now, 3, &value, 5 * S);
        });
        world.run_for(S / FACTS_PER_S);
    }
    let extra = sent(&world) - before - quiet;
    Ok(extra / f64::from(size) / (SPAN_S * FACTS_PER_S) as f64)
}

// ---- routing -----------------------------------------------------------------------------------------------

fn router(functions: usize) -> Measured<RoutingController> {
    let told =
        FunctionSpec { memory_mb: 256, lanes: 4, load_time: Some(800_000), aim: 400_000, deadline: 3 * S };
    let settings = RoutingSettings::new(places(70, 0)?, vec![told; functions], 16_384, 0);
    Ok(RoutingController::new(settings, 0)?)
}

fn routing(extent: Extent) -> Measured<Vec<Point>> {
    let mut points = Vec::new();
    for gateways in extent.of(&[100, 400, 1_000, 1_900], &[28, 56, 112]) {
        let grown = route::grow::measure(7, gateways)?;
        let mut add = |series, value, unit| points.push(Point::new(series, gateways.into(), value, unit));
        add("routing_teller_bytes_per_s", grown.most, "bytes/s");
        add("routing_median_bytes_per_s", grown.median, "bytes/s");
        add("routing_tell_us", grown.work, "us");
        add("routing_table_us", grown.table, "us");
    }
    Ok(points)
}

// ---- journals ----------------------------------------------------------------------------------------------

fn journals(extent: Extent) -> Measured<Vec<Point>> {
    let mut points = Vec::new();
    for body in extent.of(&[0, 250, 500, 1_000, 4_000], &[0, 500, 1_000]) {
        let traffic = pending::traffic(1_280, 1, body)?;
        let bytes = (traffic.there + traffic.back) as f64 / 1_280.0;
        points.push(Point::new("journals_event_bytes", body as f64, bytes, "bytes"));
    }
    for events in extent.of(&[1_280_u32, 2_560, 5_120, 10_240], &[1_280, 2_560, 3_840]) {
        let mut best = f64::MAX;
        for _ in 0..5 {
            best = best.min(pending::spin(events.into(), 1, 500)? * 1e6);
        }
        points.push(Point::new("journals_events_us", events.into(), best, "us"));
    }
    Ok(points)
}

// ---- the worker list ---------------------------------------------------------------------------------------

/// A list of so many workers, as the platform tells it.
fn list(workers: usize) -> String {
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

fn watch(extent: Extent) -> Measured<Vec<Point>> {
    let mut points = Vec::new();
    for workers in extent.of(&[500, 1_000, 2_000, 5_000], &[500, 1_000, 2_000]) {
        let text = list(workers);
        points.push(Point::new("watch_list_bytes", workers as f64, text.len() as f64, "bytes"));
        let us = best_us(5, || {
            _ = black_box(serde_json::from_str::<Vec<Target>>(&text));
        });
        points.push(Point::new("watch_parse_us", workers as f64, us, "us"));
    }
    Ok(points)
}

// ---- the module --------------------------------------------------------------------------------------------

/// Series of the module carry the functions held behind this.
pub const BY_FUNCTIONS: &str = "/functions=";

fn module(extent: Extent) -> Measured<Vec<Point>> {
    let (calls, warm_up, new) = match extent {
        Extent::Whole => (1_500, 1_500, 200),
        Extent::Quick => (300, 300, 50),
    };
    let workers = extent.of(&[60, 600, 2_000, 5_000], &[60, 600, 1_200]);
    let mut points = Vec::new();
    for workers in &workers {
        let load = Load { all_new: true, ..module_load(*workers, 100, new) };
        let cost = Driver::new(load)?.run();
        points.push(Point::new("module_new_us", *workers as f64, cost.call_us, "us"));
    }
    for functions in extent.of(&[2_000, 10_000, 38_000], &[500, 2_000]) {
        for workers in &workers {
            let load = Load { warm_up, ..module_load(*workers, functions, calls) };
            let cost = Driver::new(load)?.run();
            let mut add = |series: &str, value, unit| {
                let series = format!("{series}{BY_FUNCTIONS}{functions}");
                points.push(Point::new(&series, *workers as f64, value, unit));
            };
            add("module_call_us", cost.call_us, "us");
            add("module_sweep_us_per_s", cost.sweep_us_per_s, "us/s");
            add("module_looks_per_call", cost.looks_per_call, "looks");
            add("module_worst_us", cost.worst_us, "us");
        }
    }
    Ok(points)
}
