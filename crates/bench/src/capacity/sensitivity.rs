//! Sensitivity analysis: varies one assumption at a time and computes every role's ratio and the decision.

use super::decide::decide;
use super::plan::{Assumptions, Plan};
use super::points::Points;
use super::roles::{Missing, Model};

/// One row of the analysis.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The assumption that was changed and its value.
    pub case: String,
    /// Each role's largest ratio, in the page's order.
    pub ratios: Vec<Option<f64>>,
    /// The mechanism to build first in this case.
    pub first: Option<Missing>,
}

type Setter = fn(&mut Assumptions, f64);

/// The assumptions that are varied, and their values.
const VARIATIONS: [(&str, Setter, &[f64]); 15] = [
    ("workers", |assumptions, value| assumptions.workers = value, &[1_000.0, 2_500.0, 10_000.0]),
    ("skew", |assumptions, value| assumptions.skew = Some(value), &[1.0, 1.3, 2.0]),
    ("keep_s", |assumptions, value| assumptions.keep_s = value, &[60.0, 300.0, 1_800.0]),
    ("instance_life_s", |assumptions, value| assumptions.instance_life_s = value, &[300.0, 7_200.0]),
    ("hop_zones_s", |assumptions, value| assumptions.hop_zones_s = value, &[0.000_5, 0.005]),
    ("hop_regions_s", |assumptions, value| assumptions.hop_regions_s = value, &[0.020, 0.120]),
    ("cold_control_share", |assumptions, value| assumptions.cold_control_share = value, &[0.05, 0.2]),
    ("start_s", |assumptions, value| assumptions.start_s = value, &[10.0, 300.0]),
    ("settle_s", |assumptions, value| assumptions.settle_s = value, &[2.5, 9.0]),
    ("pairs", |assumptions, value| assumptions.pairs = value, &[1.0, 24.0]),
    ("kept_share", |assumptions, value| assumptions.kept_share = value, &[0.01, 0.2, 1.0]),
    ("change_bytes", |assumptions, value| assumptions.change_bytes = value, &[200.0, 10_000.0]),
    ("worker_starts_per_day", |assumptions, value| assumptions.worker_starts_per_day = value, &[0.1, 24.0]),
    ("permit_s", |assumptions, value| assumptions.permit_s = value, &[20.0, 300.0]),
    ("restart_hours", |assumptions, value| assumptions.restart_hours = value, &[2.0, 24.0]),
];

/// Runs the analysis; the first row is the base case.
pub fn run(plan: &Plan, base: &Assumptions, points: &Points) -> Vec<Row> {
    let row = |case: String, assumptions: &Assumptions| {
        let sections = Model { plan, assumptions, points }.sections();
        let first = decide(&sections).map(|decision| decision.first);
        Row { case, ratios: sections.iter().map(|section| section.ratio()).collect(), first }
    };
    let mut rows = vec![row("as in the table".into(), base)];
    for (name, set, values) in VARIATIONS {
        for value in values {
            let mut assumptions = base.clone();
            set(&mut assumptions, *value);
            rows.push(row(format!("{name} = {value}"), &assumptions));
        }
    }
    rows
}
