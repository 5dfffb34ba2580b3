//! What each role needs at the plan's size: formulas in the plan's variables, their slopes from measured points, the
//! budget and the ratio of the two.

use super::fit::{Fit, fit};
use super::measure::BY_FUNCTIONS;
use super::plan::{Assumptions, DAY_S, Plan, Role};
use super::points::{Points, Reading};
use basaltward_membership::MembershipSettings;
use basaltward_permits::{MAX_PERMITS, PermitSettings};
use basaltward_site_routing::FunctionSpec;

/// How a figure came to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Basis {
    /// By the formula and constants of the code alone.
    Arithmetic,
    /// By slopes that were measured up to this size.
    Measured,
    /// By slopes that were measured at smaller sizes.
    Extrapolated,
    /// No run is on record.
    NotRun,
}

impl Basis {
    /// As the page labels it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Arithmetic => "arithmetic",
            Self::Measured => "measured",
            Self::Extrapolated => "extrapolated",
            Self::NotRun => "not run",
        }
    }
}

/// What a budget is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Microseconds a second.
    Processor,
    /// Bytes.
    Memory,
    /// Bytes a second.
    Bandwidth,
    /// Seconds.
    Time,
    /// Machines.
    Machines,
    /// A constant of the code: it says what no longer fits, but is no budget of the plan and decides nothing.
    Bound,
}

impl Resource {
    /// As the page calls it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Processor => "processor, us/s",
            Self::Memory => "memory, bytes",
            Self::Bandwidth => "bytes/s",
            Self::Time => "time, s",
            Self::Machines => "machines",
            Self::Bound => "bound in the code",
        }
    }
}

/// A slope that a need rests on.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// Its series.
    pub series: String,
    /// The fit with its error, as text.
    pub text: String,
    /// What measured it.
    pub command: String,
}

/// One line of a role's section.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// Of what.
    pub resource: Resource,
    /// In words.
    pub what: &'static str,
    /// In the variables of the plan and of the assumptions.
    pub formula: String,
    /// At the plan's size; none where a slope was not measured.
    pub value: Option<f64>,
    /// How it came to be.
    pub basis: Basis,
    /// How many times past the largest measured size it lies; 1 or less where it was measured so far.
    pub reach: f64,
    /// What it rests on.
    pub slopes: Vec<Slope>,
    /// In the same unit.
    pub budget: f64,
}

impl Need {
    /// Need over budget.
    pub fn ratio(&self) -> Option<f64> {
        self.value.map(|value| value / self.budget)
    }

    /// How it came to be, and how far past what was measured.
    pub fn label(&self) -> String {
        match self.basis {
            Basis::Extrapolated => format!("extrapolated {} times past the largest run", figure(self.reach)),
            basis => basis.name().into(),
        }
    }

    /// Whether it counts in the decision.
    pub fn counts(&self) -> bool {
        self.resource != Resource::Bound
    }
}

/// A mechanism that does not stand yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Missing {
    /// Full views of a zone, summaries between zones.
    ZonedMembership,
    /// Each function's places held by few, asked for on need.
    PartitionedDirectory,
    /// A function's candidates before ratios of all workers.
    CandidateIndex,
    /// Changes with versions, told to all, with a word of who is behind.
    VersionedConfiguration,
}

impl Missing {
    /// All of them.
    pub const ALL: [Self; 4] = [
        Self::ZonedMembership,
        Self::PartitionedDirectory,
        Self::CandidateIndex,
        Self::VersionedConfiguration,
    ];

    /// As the page calls it.
    pub fn name(self) -> &'static str {
        match self {
            Self::ZonedMembership => {
                "membership by zones, whose delegates carry summaries and facts between zones"
            }
            Self::PartitionedDirectory => {
                "an instance directory split over the schedulers, asked for on need"
            }
            Self::CandidateIndex => "candidates for a function before the ratios of all workers",
            Self::VersionedConfiguration => "versioned configuration that is told to all",
        }
    }

    /// The missing mechanisms that this one is built on.
    pub fn stands_on(self) -> &'static [Self] {
        match self {
            Self::ZonedMembership => &[],
            // Who holds a function's places, and who answers a change, is who is a member.
            Self::PartitionedDirectory | Self::VersionedConfiguration => &[Self::ZonedMembership],
            // Candidates come from what the directory knows.
            Self::CandidateIndex => &[Self::PartitionedDirectory],
        }
    }
}

/// A role's section.
#[derive(Clone, Debug, PartialEq)]
pub struct Section {
    /// Whose.
    pub role: Role,
    /// What state it holds.
    pub state: &'static str,
    /// Messages in and out.
    pub messages: &'static str,
    /// Its needs.
    pub needs: Vec<Need>,
    /// What carries it today.
    pub mechanism: &'static str,
    /// What would, where that does not do.
    pub missing: Option<Missing>,
    /// What else a reader has to know.
    pub notes: Vec<String>,
}

impl Section {
    /// The need with the largest ratio of those that count.
    pub fn worst(&self) -> Option<&Need> {
        let known = self.needs.iter().filter(|need| need.counts() && need.value.is_some());
        known.max_by(|a, b| a.ratio().partial_cmp(&b.ratio()).unwrap_or(std::cmp::Ordering::Equal))
    }

    /// Its largest ratio.
    pub fn ratio(&self) -> Option<f64> {
        self.worst().and_then(Need::ratio)
    }

    /// Whether every need is within its budget, none where one was not run.
    pub fn holds(&self) -> Option<bool> {
        if self.needs.iter().any(|need| need.ratio().is_some_and(|ratio| ratio > 1.0)) {
            return Some(false);
        }
        self.needs.iter().all(|need| need.value.is_some()).then_some(true)
    }
}

/// A fit with what it was made of.
struct Fitted {
    fit: Fit,
    slope: Slope,
    /// Powers in place of a line: logarithms were fitted.
    is_power: bool,
}

impl Fitted {
    fn at(&self, x: &[f64]) -> f64 {
        if self.is_power {
            let logs: Vec<f64> = x.iter().map(|x| x.ln()).collect();
            return self.fit.at(&logs).exp();
        }
        self.fit.at(x)
    }

    /// How many times past what was measured this lies.
    fn reach(&self, x: &[f64]) -> f64 {
        let most = self.fit.most.iter().map(|most| if self.is_power { most.exp() } else { *most });
        x.iter().zip(most).map(|(x, most)| x / most.max(f64::MIN_POSITIVE)).fold(0.0, f64::max)
    }
}

/// The greater part of three figures that a reader takes in.
pub fn figure(value: f64) -> String {
    let size = value.abs();
    let text = match size {
        _ if size == 0.0 => return "0".into(),
        _ if size >= 100.0 => format!("{value:.0}"),
        _ if size >= 10.0 => format!("{value:.1}"),
        _ if size >= 1.0 => format!("{value:.2}"),
        _ if size >= 0.001 => format!("{value:.4}"),
        _ => return format!("{value:.2e}"),
    };
    let (whole, rest) =
        text.split_once('.').map_or((text.as_str(), None), |(whole, rest)| (whole, Some(rest)));
    let (sign, digits) = whole.strip_prefix('-').map_or(("", whole), |digits| ("-", digits));
    let mut grouped = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let rest = rest.map(|rest| format!(".{rest}")).unwrap_or_default();
    format!("{sign}{grouped}{rest}")
}

/// The plan, the assumptions and what was measured.
pub struct Model<'a> {
    /// The users' plan.
    pub plan: &'a Plan,
    /// What it leaves open.
    pub open: &'a Assumptions,
    /// Measured points.
    pub points: &'a Points,
}

/// A value with how it came to be and what it rests on.
struct Value {
    value: Option<f64>,
    basis: Basis,
    reach: f64,
    slopes: Vec<Slope>,
}

/// Sizes within a thousandth past the largest measured one count as measured.
const REACHED: f64 = 1.001;

impl Value {
    fn arithmetic(value: f64) -> Self {
        Self { value: Some(value), basis: Basis::Arithmetic, reach: 0.0, slopes: Vec::new() }
    }

    /// From fits, each with where it is taken; none of it where one is missing.
    fn of<const N: usize>(fits: [(&Option<Fitted>, &[f64]); N], join: impl Fn([f64; N]) -> f64) -> Self {
        let mut values = [0.0; N];
        let (mut reach, mut slopes) = (0.0, Vec::new());
        for (value, (fitted, x)) in values.iter_mut().zip(fits) {
            let Some(fitted) = fitted else {
                return Self { value: None, basis: Basis::NotRun, reach, slopes };
            };
            *value = fitted.at(x);
            reach = f64::max(reach, fitted.reach(x));
            slopes.push(fitted.slope.clone());
        }
        let basis = if reach > REACHED { Basis::Extrapolated } else { Basis::Measured };
        Self { value: Some(join(values)), basis, reach, slopes }
    }
}

/// Files of points that other commands write.
pub const MEMBERSHIP: &str = "membership.csv";
/// Of hollow members beside real processes.
pub const HOLLOW: &str = "hollow.csv";
/// Members in virtual time at small sizes, measured by this command.
pub const SMALL: &str = "membership-small.csv";

impl Model<'_> {
    /// All sections.
    pub fn sections(&self) -> Vec<Section> {
        Role::ALL.map(|role| self.section(role)).to_vec()
    }

    fn section(&self, role: Role) -> Section {
        match role {
            Role::Module => self.module(),
            Role::Directory => self.directory(),
            Role::Membership => self.membership(),
            Role::Permits => self.permits(),
            Role::Admission => self.admission(),
            Role::Routing => self.routing(),
            Role::Journals => self.journals(),
            Role::Configuration => self.configuration(),
            Role::Watch => self.watch(),
            Role::ControlMachines => self.control_machines(),
        }
    }

    // ---- fits --------------------------------------------------------------------------------------------

    fn slope(file: &str, series: &str, command: &str, fit: &Fit, names: &[&str], is_power: bool) -> Slope {
        let error = |at: usize| fit.errors.as_ref().map_or("?".into(), |errors| figure(errors[at]));
        let coefficient = |at: usize| format!("{} (se {})", figure(fit.coefficients[at]), error(at));
        let terms: Vec<String> =
            names.iter().enumerate().map(|(at, name)| format!("{} x {name}", coefficient(at + 1))).collect();
        let head = if is_power { "ln y = " } else { "" };
        let text = format!(
            "{head}{} + {}; {} points, relative residual {:.1}%",
            coefficient(0),
            terms.join(" + "),
            fit.points,
            fit.residual * 100.0
        );
        Slope { series: format!("{file}: {series}"), text, command: command.into() }
    }

    /// Sizes and values of a series, without those that did not settle, and what measured it.
    fn values(&self, file: &str, series: &str) -> Option<(Vec<(f64, f64)>, String)> {
        let points = self.points.series(file, series);
        let command = self.points.commands(file, series)?;
        Some((points.iter().filter_map(|point| Some((point.size, point.value()?))).collect(), command))
    }

    /// A line through a series.
    fn line(&self, file: &str, series: &str, name: &str) -> Option<Fitted> {
        let (points, command) = self.values(file, series)?;
        let rows: Vec<Vec<f64>> = points.iter().map(|(size, _)| vec![*size]).collect();
        let values: Vec<f64> = points.iter().map(|(_, value)| *value).collect();
        let fit = fit(&rows, &values)?;
        let slope = Self::slope(file, series, &command, &fit, &[name], false);
        Some(Fitted { fit, slope, is_power: false })
    }

    /// A power law through a series: a line through logarithms.
    pub fn power(&self, file: &str, series: &str) -> Option<(f64, f64, f64)> {
        let fitted = self.power_fit(file, series)?;
        Some((fitted.fit.coefficients[0], fitted.fit.coefficients[1], fitted.fit.residual))
    }

    fn power_fit(&self, file: &str, series: &str) -> Option<Fitted> {
        let (mut points, command) = self.values(file, series)?;
        points.retain(|(size, value)| *size > 0.0 && *value > 0.0);
        let rows: Vec<Vec<f64>> = points.iter().map(|(size, _)| vec![size.ln()]).collect();
        let values: Vec<f64> = points.iter().map(|(_, value)| value.ln()).collect();
        let mut fit = fit(&rows, &values)?;
        // Of the values, not of their logarithms.
        let left = |(size, value): &(f64, f64)| (fit.at(&[size.ln()]).exp() / value - 1.0).powi(2);
        fit.residual = (points.iter().map(left).sum::<f64>() / points.len() as f64).sqrt();
        let slope = Self::slope(file, series, &command, &fit, &["ln members"], true);
        Some(Fitted { fit, slope, is_power: true })
    }

    /// The module's figures over workers and functions: their product too, as a call for a function not held ranks
    /// all workers.
    fn plane(&self, series: &str) -> Option<Fitted> {
        let file = "module.csv";
        let start = format!("{series}{BY_FUNCTIONS}");
        let (mut rows, mut values, mut command) = (Vec::new(), Vec::new(), String::new());
        for name in self.points.names(file) {
            let Some(functions) = name.strip_prefix(&start).and_then(|of| of.parse::<f64>().ok()) else {
                continue;
            };
            for point in self.points.series(file, name) {
                rows.push(vec![point.size, functions]);
                values.push(point.value()?);
                command.clone_from(&point.command);
            }
        }
        let fit = fit(&rows, &values)?;
        let slope = Self::slope(file, series, &command, &fit, &["workers", "functions_held"], false);
        Some(Fitted { fit, slope, is_power: false })
    }

    fn need(&self, resource: Resource, what: &'static str, formula: &str, value: Value, budget: f64) -> Need {
        let Value { value, basis, reach, slopes } = value;
        Need { resource, what, formula: formula.into(), value, basis, reach, slopes, budget }
    }

    /// A scheduler's budget that falls to a role.
    fn budget(&self, role: Role, resource: Resource) -> f64 {
        let (plan, share) = (self.plan, role.share());
        match resource {
            Resource::Processor => plan.processor_us_per_s() * share.processor,
            Resource::Memory => plan.memory_bytes * share.memory,
            Resource::Bandwidth => plan.bytes_per_s * share.bandwidth,
            Resource::Time | Resource::Machines | Resource::Bound => f64::NAN,
        }
    }

    fn of_share(
        &self,
        role: Role,
        resource: Resource,
        what: &'static str,
        formula: &str,
        value: Value,
    ) -> Need {
        self.need(resource, what, formula, value, self.budget(role, resource))
    }

    // ---- roles -------------------------------------------------------------------------------------------

    fn module(&self) -> Section {
        let (role, plan, open) = (Role::Module, self.plan, self.open);
        let (workers, functions, calls) = (open.workers, open.functions_held(plan), plan.calls_of_one());
        let at: &[f64] = &[workers, functions];
        let (call, sweep) = (self.plane("module_call_us"), self.plane("module_sweep_us_per_s"));
        let (new, share) = (self.line("module.csv", "module_new_us", "workers"), open.new_share(plan));
        let processor = Value::of([(&call, at), (&new, &[workers]), (&sweep, at)], |[call, new, sweep]| {
            calls * ((1.0 - share) * call + share * new) + sweep
        });
        let (by_functions, by_workers) = (
            self.line("memory.csv", "module_memory_by_functions", "functions"),
            self.line("memory.csv", "module_memory_by_workers", "workers"),
        );
        let memory =
            Value::of([(&by_functions, &[functions]), (&by_workers, &[workers])], |[functions, workers]| {
                functions + workers
            });
        // The module's own patience with questions, then a question and its answer between zones.
        let cold = MODULE_ASK_S + 2.0 * open.hop_zones_s;
        let needs = vec![
self.of_share(
role,
Resource::Processor,
"all its events",
"calls_per_s / schedulers x ((1 - new_share) x call_us(workers, functions_held) + new_share x new_us(workers)) \
                 + sweep_us_per_s(workers, functions_held)",
processor,
),
self.of_share(
role,
Resource::Memory,
"functions, their places and workers",
"bytes(functions_held) + bytes(workers)",
memory,
),
self.need(
Resource::Time,
"a cold start's questions",
"0.015 s of patience with questions + 2 x hop_zones_s",
Value::arithmetic(cold),
plan.cold_start_s * open.cold_control_share,
),
];
        Section {
            role,
            state: "Each worker of the list with demand, evidence and attempts; each function called within four times \
                    keep_s with its places; calls in hand.",
            messages: "In: calls, outcomes, the list of workers. Out: sends, load orders, up to 3 questions to workers for \
                       a function of which no copy is known. No messages to other schedulers.",
            needs,
            mechanism: "`src/control.rs`: ranks every usable worker for each order and question, sums over all workers \
                        and functions twice a second",
            missing: Some(Missing::CandidateIndex),
            notes: vec![format!(
                "One question to another region takes 2 x hop_regions_s = {} s, of {} s that control may take of a cold \
                 start (arithmetic): questions have to stay within a region.",
                figure(2.0 * open.hop_regions_s),
                figure(plan.cold_start_s * open.cold_control_share)
            )],
        }
    }

    fn directory(&self) -> Section {
        let (role, plan, open) = (Role::Directory, self.plan, self.open);
        let told = self.line("directory.csv", "directory_told_bytes", "updates");
        let heard = self.line("directory.csv", "directory_heard_us", "updates");
        let memory = self.line("memory.csv", "directory_memory", "facts");
        // What was told is told again after a quarter to a half of keep_s.
        let updates = 2.0 * open.starts_per_s(plan) + plan.instances / (open.keep_s * REFRESH);
        let slope = |fitted: &Option<Fitted>, times: f64| {
            // A rate: the slope alone, without what a run costs once.
            let value = Value::of([(fitted, &[0.0])], |_| 0.0);
            let each = fitted.as_ref().map(|fitted| fitted.fit.coefficients[1]);
            Value { value: each.map(|each| each * times), ..value }
        };
        let needs = vec![
            self.of_share(
                role,
                Resource::Bandwidth,
                "starts, ends and refreshes told to all",
                "(2 x instances / instance_life_s + instances / (3/8 x keep_s)) x bytes an update",
                slope(&told, updates),
            ),
            self.need(
                Resource::Bandwidth,
                "all that stands, for a scheduler that starts, of its whole budget",
                "instances x bytes an update / start_s",
                slope(&told, plan.instances / open.start_s),
                plan.bytes_per_s,
            ),
            self.of_share(
                role,
                Resource::Processor,
                "updates heard",
                "(2 x instances / instance_life_s + instances / (3/8 x keep_s)) x us an update",
                slope(&heard, updates),
            ),
            self.of_share(
                role,
                Resource::Memory,
                "a fact for each instance",
                "bytes(instances)",
                Value::of([(&memory, &[plan.instances])], |[bytes]| bytes),
            ),
            self.need(
                Resource::Bound,
                "facts held",
                "instances, of 16,384 facts held at most",
                Value::arithmetic(plan.instances),
                DIRECTORY_FACTS,
            ),
            self.need(
                Resource::Bound,
                "functions by name",
                "functions_held, of 8,192 names held at most",
                Value::arithmetic(open.functions_held(plan)),
                DIRECTORY_NAMES,
            ),
        ];
        Section {
role,
state: "Where copies stand, by function and worker, with age and count, as far as anybody has seen it within \
                    keep_s: `crates/node/src/words.rs`, `hearsay.rs`.",
messages: "Each start, end and refresh goes in one datagram of up to 25 updates to an address at which all \
                       schedulers listen; every scheduler takes every update, called there or not. What is counted is \
                       what one scheduler takes.",
needs,
mechanism: "updates told to everyone",
missing: Some(Missing::PartitionedDirectory),
notes: vec!["Used where the fleet's membership is off: with it on, the directory has no socket and tells \
                         nothing (`Hearsay::open`)."
.into()],
}
    }

    fn membership(&self) -> Section {
        let (role, plan, open) = (Role::Membership, self.plan, self.open);
        let members: &[f64] = &[plan.schedulers];
        let value = |series: &str, scale: f64| self.of_members(series, scale);
        let time = |what, series: &str| {
            let formula = format!("{series}(schedulers) / 1000");
            self.need(Resource::Time, what, &formula, value(series, 1e-3), open.settle_s)
        };
        let rate = MembershipSettings::new(2, 0, 0, 0).bytes_per_s as f64;
        let memory = self.line("memory.csv", "membership_memory", "members");
        let mut needs = vec![
            time("all agree after a start together", "settle_start_ms"),
            time("the death of one is known to all", "settle_kill_one_ms"),
            time("a rack of 40 at once", "settle_kill_rack_ms"),
            time("a zone at once", "settle_kill_zone_ms"),
            time("all agree after regions are joined again", "settle_heal_region_ms"),
        ];
        needs.push(self.of_share(
            role,
            Resource::Bandwidth,
            "quiet",
            "bytes_per_s_quiet(schedulers)",
            value("bytes_per_s_quiet", 1.0),
        ));
        needs.push(self.need(
            Resource::Bandwidth,
            "worst second of a storm, of the scheduler's whole budget",
            "bytes_per_s_storm_worst(schedulers)",
            value("bytes_per_s_storm_worst", 1.0),
            plan.bytes_per_s,
        ));
        for (what, series) in [("quiet", "cpu_us_per_s_quiet"), ("in a storm", "cpu_us_per_s_storm")] {
            let formula = format!("{series}(schedulers)");
            needs.push(self.of_share(role, Resource::Processor, what, &formula, value(series, 1.0)));
        }
        needs.push(self.of_share(
            role,
            Resource::Memory,
            "one view",
            "bytes(schedulers)",
            match self.points.series(MEMBERSHIP, "memory_bytes_member").is_empty() {
                true => Value::of([(&memory, members)], |[bytes]| bytes),
                false => value("memory_bytes_member", 1.0),
            },
        ));
        Section {
            role,
            state: "An entry, a digest and up to 14 facts for each member of the fleet, in every member; no zones, no \
                    regions.",
            messages: "A probe and its answer each 250 ms, through three others where none comes; updates to two members \
                       each 83 ms while there are any, each passed on log2(members) + 3 times; comparisons of 64 block \
                       digests where views differ.",
            needs,
            mechanism: "`crates/membership`: SWIM with anti-entropy, one flat view of all members",
            missing: Some(Missing::ZonedMembership),
            notes: vec![format!(
                "A member sends at most {} bytes/s by its usual settings (arithmetic), so a fleet that has more to tell \
                 takes longer: its need shows as time.",
                figure(rate)
            )],
        }
    }

    /// A series at the plan's size: the point where one was measured, else by its fit.
    fn stated(&self, file: &str, series: &str, scale: f64, fitted: &Option<Fitted>) -> Value {
        let points = self.points.series(file, series);
        let unsettled = points.iter().filter(|point| point.reading == Reading::Unsettled);
        let unsettled: Vec<String> = unsettled.map(|point| figure(point.size)).collect();
        let here = points.iter().find(|point| point.size == self.plan.schedulers);
        let by_fit = Value::of([(fitted, &[self.plan.schedulers])], |[value]| value * scale);
        let mut value = match here.and_then(|point| point.value()) {
            Some(value) => Value { value: Some(value * scale), basis: Basis::Measured, reach: 1.0, ..by_fit },
            None => by_fit,
        };
        if let Some(slope) = value.slopes.first_mut().filter(|_| !unsettled.is_empty()) {
            slope.text += &format!("; unsettled at {}, so this is from below", unsettled.join(", "));
        }
        value
    }

    /// A series of the scale runs, of small fleets where there are none.
    fn of_members(&self, series: &str, scale: f64) -> Value {
        let file = if self.points.series(MEMBERSHIP, series).is_empty() { SMALL } else { MEMBERSHIP };
        self.stated(file, series, scale, &self.power_fit(file, series))
    }

    fn permits(&self) -> Section {
        let (role, plan, open) = (Role::Permits, self.plan, self.open);
        let all = self.line("permits.csv", "permits_all_bytes_per_s", "members");
        let request = self.line("permits.csv", "permits_request_us", "subjects");
        let sight = self.line("memory.csv", "permits_sight_memory", "subjects");
        let subjects: &[f64] = &[plan.schedulers + open.workers];
        let requests = 2.0 * plan.restarts_per_day / (open.restart_hours * 3_600.0);
        let each = Value::of([(&all, &[plan.schedulers])], |[bytes]| bytes / plan.schedulers);
        let leader = all.as_ref().map(|all| all.fit.coefficients[0].max(0.0) + all.fit.coefficients[1]);
        let of_leader = Value { value: leader, ..Value::of([(&all, &[plan.schedulers])], |[bytes]| bytes) };
        let standing = plan.restarts_per_day * open.permit_s / (open.restart_hours * 3_600.0);
        let most = standing + 3.0 * standing.sqrt();
        let settings = PermitSettings::new(plan.schedulers as u16, 0, 0, 0);
        let voters = settings.voters.len();
        let needs = vec![
self.of_share(
role,
Resource::Bandwidth,
"a member, mean",
"all_bytes_per_s(schedulers) / schedulers",
each,
),
self.of_share(
role,
Resource::Bandwidth,
"the leader at most: its intercept and a member's slope",
"all_bytes_per_s(0) + slope",
of_leader,
),
self.of_share(
role,
Resource::Processor,
"requests at the leader",
"2 x restarts_per_day / (restart_hours x 3600) x request_us(schedulers + workers)",
Value::of([(&request, subjects)], |[us]| us * requests),
),
self.of_share(
role,
Resource::Memory,
"what the leader sees, while it answers",
"bytes(schedulers + workers)",
Value::of([(&sight, subjects)], |[bytes]| bytes),
),
self.need(
Resource::Bound,
"permits at once",
"restarts_per_day x permit_s / (restart_hours x 3600) + 3 x its root, of 12 permits in a datagram",
Value::arithmetic(most),
MAX_PERMITS as f64,
),
];
        let release = plan.schedulers * open.permit_s / MAX_PERMITS as f64 / 3_600.0;
        Section {
            role,
            state: "A replicated state of up to 12 permits, a release plan and a halt, in one datagram; what is seen of \
                    all schedulers and workers, put together when a request comes.",
            messages: "The leader asks its voters each 400 ms; each member tells one other each second how far it knows \
                       the state; a change is passed on by each to two others four times.",
            needs,
            mechanism: "`crates/permits`: one quorum for the whole list",
            missing: None,
            notes: vec![
                format!(
                    "{voters} voters spread over the list, whatever its zones and regions (arithmetic): with 2 regions the \
                     one that holds fewer of them gets no permit while regions are apart."
                ),
                format!(
                    "A release that restarts all schedulers, 12 at once, takes schedulers x permit_s / 12 = {} hours \
                     (arithmetic); the plan gives no budget for it.",
                    figure(release)
                ),
            ],
        }
    }

    fn admission(&self) -> Section {
        let (role, plan, open) = (Role::Admission, self.plan, self.open);
        let facts = self.line("admission.csv", "admission_facts_per_s", "pairs");
        let carried = self.line("admission.csv", "fact_carried_bytes", "members");
        let table = self.line("admission.csv", "admission_table_us", "members");
        let memory = self.line("memory.csv", "admission_memory", "members");
        // Each member passes a fact on so many times: by the logarithm of the members, not by a line.
        let per_fact = self.carried_at(&carried);
        let members: &[f64] = &[plan.schedulers];
        let told = Value::of([(&facts, &[open.pairs])], |[facts]| facts * plan.schedulers);
        let bandwidth = Value {
            value: told.value.zip(per_fact).map(|(told, bytes)| told * bytes),
            basis: if per_fact.is_some() { Basis::Extrapolated } else { Basis::NotRun },
            reach: carried.as_ref().map_or(0.0, |fitted| fitted.reach(members)),
            slopes: told.slopes.into_iter().chain(carried.map(|fitted| fitted.slope)).collect(),
        };
        let needs = vec![
            self.of_share(
                role,
                Resource::Bandwidth,
                "facts of load, told by all to all",
                "schedulers x facts_per_s(pairs) x bytes that each member sends for one fact",
                bandwidth,
            ),
            self.of_share(
                role,
                Resource::Processor,
                "a table each 100 ms",
                "10 x table_us(schedulers)",
                Value::of([(&table, members)], |[us]| us * TABLES_PER_S),
            ),
            self.of_share(
                role,
                Resource::Memory,
                "the load of all others",
                "bytes(schedulers)",
                Value::of([(&memory, members)], |[bytes]| bytes),
            ),
        ];
        Section {
role,
state: "What comes by class and tenant at each other member, told within the last 5 s; a table of shares.",
messages: "Each member tells a head and pages of pairs as facts, those that changed each 500 ms; membership \
                       carries each fact to every member.",
needs,
mechanism: "`crates/shed`: shares worked out alike by all from what all tell, on membership's facts",
missing: Some(Missing::ZonedMembership),
notes: vec!["Membership sends no faster than its own budget: past it facts come late, those older than 5 s are \
                         not believed, and doors then take everything. So the need does not show as bytes but as \
                         admission control that is off. Sums of a zone in place of facts of each member would be zones x \
                         the same bytes. The door is in `serve`; `node` has none."
.into()],
}
    }

    /// Bytes a member sends for one fact at the plan's size: as measured at the largest size, with the times a fact is
    /// passed on at both sizes.
    fn carried_at(&self, fitted: &Option<Fitted>) -> Option<f64> {
        let largest = fitted.as_ref()?.fit.most[0];
        let points = self.points.series("admission.csv", "fact_carried_bytes");
        let measured = points.iter().find(|point| point.size == largest)?.value()?;
        let repeats =
            |members: f64| f64::from(MembershipSettings::new(members as u16, 0, 0, 0).retransmit_limit());
        Some(measured * repeats(self.plan.schedulers) / repeats(largest))
    }

    fn routing(&self) -> Section {
        let (role, plan) = (Role::Routing, self.plan);
        let file = "routing.csv";
        let value = |series: &str| self.stated(file, series, 1.0, &self.line(file, series, "gateways"));
        let each = |one: Value, other: Value| Value {
            value: one.value.zip(other.value).map(|(one, other)| (one + other) * TELLS_PER_S),
            basis: one.basis.max(other.basis),
            reach: one.reach.max(other.reach),
            slopes: one.slopes.into_iter().chain(other.slopes).collect(),
        };
        let memory = self.line("memory.csv", "routing_memory", "functions");
        let needs = vec![
            self.of_share(
                role,
                Resource::Bandwidth,
                "the teller of a site",
                "teller_bytes_per_s(schedulers), 7 sites, 200 functions",
                value("routing_teller_bytes_per_s"),
            ),
            self.of_share(
                role,
                Resource::Bandwidth,
                "the median gateway",
                "median_bytes_per_s(schedulers)",
                value("routing_median_bytes_per_s"),
            ),
            self.of_share(
                role,
                Resource::Processor,
                "telling and a table, each 250 ms",
                "4 x (tell_us(schedulers) + table_us(schedulers))",
                each(value("routing_tell_us"), value("routing_table_us")),
            ),
            self.of_share(
                role,
                Resource::Memory,
                "functions at 7 sites, nothing told yet",
                "bytes(functions)",
                Value::of([(&memory, &[plan.functions])], |[bytes]| bytes),
            ),
        ];
        Section {
            role,
            state: "For each function its cost at each site and its home; queue, room and link of each site.",
            messages: "Each 250 ms a gateway tells its counts to its site's teller, which tells other sites and its own \
                       gateways.",
            needs,
            mechanism: "`crates/route`: one teller a site, frames over kept connections",
            missing: Some(Missing::ZonedMembership),
            notes: vec![
"Measured with 200 functions called at every gateway; with more functions frames grow until their bound, \
                 so this is from below."
.into(),
],
        }
    }

    fn journals(&self) -> Section {
        let (role, plan, open) = (Role::Journals, self.plan, self.open);
        let kept = plan.calls_of_one() * open.kept_share;
        let bytes = self.line("journals.csv", "journals_event_bytes", "event bytes");
        let us = self.line("journals.csv", "journals_events_us", "events");
        let memory = self.line("memory.csv", "journals_memory", "events");
        let each = |fitted: &Option<Fitted>, times: f64| {
            let value = Value::of([(fitted, &[0.0])], |_| 0.0);
            let slope = fitted.as_ref().map(|fitted| fitted.fit.coefficients[1] * times);
            Value { value: slope, ..value }
        };
        let needs = vec![
            self.of_share(
                role,
                Resource::Bandwidth,
                "entries, the events' own bytes left out",
                "calls_per_s / schedulers x kept_share x event_bytes(0)",
                Value::of([(&bytes, &[0.0])], |[bytes]| bytes * kept),
            ),
            self.of_share(
                role,
                Resource::Processor,
                "as writer and as another's holder",
                "calls_per_s / schedulers x kept_share x us an event",
                each(&us, kept),
            ),
            self.of_share(
                role,
                Resource::Memory,
                "at writer and holder, 60 s of them with 500 bytes each",
                "calls_per_s / schedulers x kept_share x 60 s x bytes an event",
                each(&memory, kept * JOURNAL_S),
            ),
        ];
        Section {
role,
state: "Events accepted and not ended, ended ones for their time, those held for neighbours.",
messages: "For each kept event three entries to a holder at another site, and their acknowledgements.",
needs,
mechanism: "`crates/pending`: a journal a writer, holders at other sites",
missing: None,
notes: vec!["The bytes of the events themselves go to the holder too; they are traffic of calls here, not \
                         control. kept_share is the assumption that decides: see the sensitivity run."
.into()],
}
    }

    fn configuration(&self) -> Section {
        let (role, plan, open) = (Role::Configuration, self.plan, self.open);
        let told = self.of_members("settle_kill_one_ms", 1e-3);
        let state = plan.functions * (size_of::<FunctionSpec>() + FUNCTION_NAME_BYTES) as f64;
        let needs = vec![
            self.need(
                Resource::Time,
                "until in force everywhere, if today's membership told it as it tells a death",
                "settle_kill_one_ms(schedulers) / 1000",
                told,
                plan.change_in_force_s,
            ),
            self.of_share(
                role,
                Resource::Bandwidth,
                "each change once to each scheduler",
                "changes_per_day / 86400 x change_bytes",
                Value::arithmetic(plan.changes_per_s() * open.change_bytes),
            ),
            self.of_share(
                role,
                Resource::Memory,
                "a line a function",
                "functions x (bytes of FunctionTold + 24)",
                Value::arithmetic(state),
            ),
        ];
        Section {
            role,
            state: "A file a process, read at its start and on SIGHUP; the mark of the program's version is told to all, \
                    that of its configuration to none.",
            messages: "None between schedulers. Whoever changes something writes a file to each machine and sends a signal.",
            needs,
            mechanism: "missing: SIGHUP, one process at a time",
            missing: Some(Missing::VersionedConfiguration),
            notes: vec![
                format!(
                    "One change each {} s (arithmetic): the next begins before the last has had its 9 s and a minute's \
                     partition is over, so several versions are under way at once.",
                    figure(1.0 / plan.changes_per_s())
                ),
                "A straggler acts on the file that it last read, nobody knows which, and nothing fences it."
                    .into(),
            ],
        }
    }

    fn watch(&self) -> Section {
        let (role, plan, open) = (Role::Watch, self.plan, self.open);
        let bytes = self.line("watch.csv", "watch_list_bytes", "workers");
        let parse = self.line("watch.csv", "watch_parse_us", "workers");
        let memory = self.line("memory.csv", "watch_memory", "workers");
        let workers: &[f64] = &[open.workers];
        // Leaving, gone and started again, and a line each second that says that all is told.
        let changes = 3.0 * open.workers * open.worker_starts_per_day / DAY_S;
        let slope = |fitted: &Option<Fitted>, times: f64, beside: f64| {
            let value = Value::of([(fitted, workers)], |_| 0.0);
            let each = fitted.as_ref().map(|fitted| fitted.fit.coefficients[1] * times + beside);
            Value { value: each, ..value }
        };
        let needs = vec![
            self.of_share(
                role,
                Resource::Bandwidth,
                "changes and a line a second",
                "3 x workers x worker_starts_per_day / 86400 x bytes a worker + 12",
                slope(&bytes, changes, WATCH_LINE_BYTES),
            ),
            self.need(
                Resource::Bandwidth,
                "the whole list, for a scheduler that starts, of its whole budget",
                "list_bytes(workers) / start_s",
                Value::of([(&bytes, workers)], |[bytes]| bytes / open.start_s),
                plan.bytes_per_s,
            ),
            self.of_share(
                role,
                Resource::Processor,
                "changes read",
                "3 x workers x worker_starts_per_day / 86400 x us a worker",
                slope(&parse, changes, 0.0),
            ),
            self.of_share(
                role,
                Resource::Memory,
                "the list",
                "bytes(workers)",
                Value::of([(&memory, workers)], |[bytes]| bytes),
            ),
        ];
        let whole = bytes.as_ref().map(|bytes| bytes.at(workers) * plan.schedulers);
        let storm = whole.map_or("not run".into(), |bytes| format!("{} MB", figure(bytes / 1e6)));
        Section {
            role,
            state: "The list of workers with state, zone, kind and start; the number of the last event held.",
            messages: "One connection to the platform's list: numbered events, a line each second; after a gap the events \
                       behind the last one held, at a start the whole list.",
            needs,
            mechanism: "`crates/bulletin`: each scheduler follows the one list by itself",
            missing: None,
            notes: vec![format!(
                "All schedulers that read the whole list at once: schedulers x list_bytes(workers) = {storm} \
                 (extrapolated from the slope above)."
            )],
        }
    }

    fn control_machines(&self) -> Section {
        let (role, plan, open) = (Role::ControlMachines, self.plan, self.open);
        let bytes = self.line("watch.csv", "watch_list_bytes", "workers");
        let parse = self.line("watch.csv", "watch_parse_us", "workers");
        let workers: &[f64] = &[open.workers];
        let of_one = plan.schedulers / plan.control_machines;
        let changes = 3.0 * open.workers * open.worker_starts_per_day / DAY_S;
        let slope = |fitted: &Option<Fitted>, join: &dyn Fn(f64) -> f64| {
            let value = Value::of([(fitted, workers)], |_| 0.0);
            Value { value: fitted.as_ref().map(|fitted| join(fitted.fit.coefficients[1])), ..value }
        };
        let config = plan.changes_per_s() * open.change_bytes;
        let quorum = (plan.control_machines / 2.0).floor() + 1.0;
        let left = plan.control_machines - (plan.control_machines / plan.regions).ceil();
        let needs = vec![
self.need(
Resource::Bandwidth,
"changes of configuration and of the list, to its part of the schedulers",
"schedulers / control_machines x (changes_per_day / 86400 x change_bytes + list changes)",
slope(&bytes, &|each| of_one * (config + changes * each + WATCH_LINE_BYTES)),
open.control_bytes_per_s,
),
self.need(
Resource::Bandwidth,
"whole lists to its part, all of which start",
"schedulers / control_machines x list_bytes(workers) / start_s",
Value::of([(&bytes, workers)], |[bytes]| of_one * bytes / open.start_s),
open.control_bytes_per_s,
),
self.need(
Resource::Processor,
"an entry read or written, to its part, all of which start",
"schedulers / control_machines x workers x us a worker / start_s",
slope(&parse, &|each| of_one * open.workers * each / open.start_s),
open.control_cores * 1e6,
),
self.need(
Resource::Machines,
"a majority while one region is lost",
"floor(control_machines / 2) + 1, of control_machines - ceil(control_machines / regions) left",
Value::arithmetic(quorum),
left,
),
];
        Section {
            role,
            state: "Nothing of this project: the platform's list of workers is told from there.",
            messages: "The list to 1,900 connections.",
            needs,
            mechanism: "missing: no part of this project runs on them",
            missing: Some(Missing::VersionedConfiguration),
            notes: vec![format!(
                "A zone's loss takes ceil(9 / 7) = 2 of the 9 and leaves a majority; of two regions the larger part's loss \
                 leaves {} of the {} that a majority takes (arithmetic). No way to place 9 machines in 2 regions changes \
                 that: what has to go on while regions are apart may not need their majority.",
                figure(left),
                figure(quorum)
            )],
        }
    }
}

/// The module's patience with its questions (`ASK` of `src/control.rs`), seconds.
const MODULE_ASK_S: f64 = 0.015;
/// What was told of an instance is told again after this part of keep_s, mean (`Words::refresh`).
const REFRESH: f64 = 0.375;
/// `MOST_FACTS` and `MOST_NAMES` of `crates/node/src/words.rs`.
const DIRECTORY_FACTS: f64 = 16_384.0;
const DIRECTORY_NAMES: f64 = 8_192.0;
/// `STEP` of `crates/shed`: a table each 100 ms.
const TABLES_PER_S: f64 = 10.0;
/// Routes are told each 250 ms.
const TELLS_PER_S: f64 = 4.0;
/// For how long a kept event is counted as held, seconds.
const JOURNAL_S: f64 = 60.0;
/// The line that a list tells each second.
const WATCH_LINE_BYTES: f64 = 12.0;
/// A function's name in memory.
const FUNCTION_NAME_BYTES: usize = 24;
