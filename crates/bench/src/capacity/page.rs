//! Writes the text of the capacity page from the plan, the assumptions and measured points alone, so the same points
//! give the same bytes.

use super::decide::{Decision, NEAR_TIE_FACTOR, Ranked, decide};
use super::measure::SOURCES;
use super::plan::{Assumptions, Plan, Role};
use super::plot_name;
use super::points::{Point, Points};
use super::roles::{HOLLOW, MEMBERSHIP, Missing, Model, Need, Section, figure};
use super::sensitivity;
use std::fmt::Write;

/// The text of the page.
pub fn page(plan: &Plan, assumptions: &Assumptions, points: &Points) -> String {
    let model = Model { plan, assumptions, points };
    let sections = model.sections();
    let mut out = String::new();
    introduction(&mut out);
    roles_table(&mut out, &sections);
    plan_and_assumptions(&mut out, plan, assumptions);
    sections.iter().for_each(|section| role(&mut out, section));
    scale_runs(&mut out, &model);
    own_plots(&mut out, points);
    sensitivity(&mut out, plan, assumptions, points);
    decision(&mut out, &sections);
    out
}

fn line(out: &mut String, text: &str) {
    // Writing to a string does not fail.
    _ = writeln!(out, "{text}");
}

fn introduction(out: &mut String) {
    line(
        out,
        "# Capacity: the size to design for\n\n\
         Written by a command; not to be edited by hand, a test compares it with what the command writes.\n\n    \
         cargo run --release -p basaltward-bench -- capacity                 # measures, then writes\n    \
         cargo run --release -p basaltward-bench -- capacity --from-points   # writes from the points in docs/capacity/\n\n\
         Every figure is labelled: **arithmetic** follows from the plan and constants of the code; **measured** rests on \
         slopes measured up to this size by the command shown beside them; **extrapolated** rests on slopes measured \
         at smaller sizes; **not run** has no run on record. A need is what today's mechanism takes at the \
         plan's size, a ratio is need over budget: above 1 it does not hold. Slopes are least squares, with the standard \
         error (se) of each coefficient and the root mean square of the residuals, relative to the mean. One run each \
         on a shared machine of 8 cores: times are good to a factor of 2 or so. Seconds of virtual time are exact \
         for their seeds.\n",
    );
}

/// The budget shares of a role as text.
fn share(role: Role) -> String {
    let share = role.share();
    let percent = |part: f64| format!("{}%", (part * 100.0).round());
    format!("{} / {} / {}", percent(share.processor), percent(share.memory), percent(share.bandwidth))
}

fn ratio_text(ratio: Option<f64>) -> String {
    ratio.map_or("not run".into(), figure)
}

fn roles_table(out: &mut String, sections: &[Section]) {
    line(out, "## Roles\n");
    line(
        out,
        "Budget shares are of a scheduler's processor time / memory / bytes a second; they are a choice of this page and \
         sum to 100%. The need shown is the one with the largest ratio of the role.\n",
    );
    line(out, "| role | budget share | largest need | need | budget | ratio | holds | mechanism |");
    line(out, "| --- | --- | --- | --- | --- | --- | --- | --- |");
    for section in sections {
        let largest_need = section.largest_need();
        let text =
            |value: fn(&Need) -> f64| largest_need.map_or("not run".into(), |need| figure(value(need)));
        let what = largest_need
            .map_or("-".into(), |need| format!("{}: {} ({})", need.resource.name(), need.what, need.label()));
        let holds = match section.is_within_budget() {
            Some(true) => "yes",
            Some(false) => "**no**",
            None => "as far as run",
        };
        let mechanism = match (section.missing, section.is_within_budget()) {
            (Some(missing), Some(false)) => format!("{}; missing: {}", section.mechanism, missing.name()),
            _ => section.mechanism.into(),
        };
        let row = [
            section.role.name().into(),
            share(section.role),
            what,
            text(|need| need.value.unwrap_or(f64::NAN)),
            text(|need| need.budget),
            ratio_text(section.ratio()),
            holds.into(),
            mechanism,
        ];
        line(out, &format!("| {} |", row.join(" | ")));
    }
    line(out, "");
}

fn plan_and_assumptions(out: &mut String, plan: &Plan, assumptions: &Assumptions) {
    let table = |out: &mut String, rows: Vec<(&str, f64, &str)>| {
        line(out, "| variable | value | unit |\n| --- | --- | --- |");
        for (name, value, unit) in rows {
            line(out, &format!("| {name} | {} | {unit} |", figure(value)));
        }
        line(out, "");
    };
    line(out, "## The plan\n");
    table(out, plan.rows());
    line(
        out,
        &format!(
            "So one scheduler takes calls_per_s / schedulers = {} calls a second and may spend {} us of processor time a \
             second on control, {} us a call if all of it went to calls; a change of configuration comes each {} s; {} \
             schedulers stand in a zone (arithmetic).\n",
            figure(plan.calls_per_scheduler()),
            figure(plan.processor_us_per_s()),
            figure(plan.processor_us_per_s() / plan.calls_per_scheduler()),
            figure(1.0 / plan.changes_per_s()),
            figure(plan.schedulers / plan.zones)
        ),
    );
    line(out, "## Assumptions that the plan leaves open\n");
    table(out, assumptions.rows(plan));
}

fn role(out: &mut String, section: &Section) {
    line(out, &format!("## Role: {}\n", section.role.name()));
    line(out, &format!("- State: {}", section.state));
    line(out, &format!("- Messages: {}", section.messages));
    line(out, &format!("- Mechanism: {}", section.mechanism));
    if let Some(missing) = section.missing {
        line(out, &format!("- Missing: {}", missing.name()));
    }
    line(out, "\n| need | of what | formula | at the plan's size | basis | budget | ratio |");
    line(out, "| --- | --- | --- | --- | --- | --- | --- |");
    for need in &section.needs {
        let row = [
            need.resource.name().into(),
            need.what.into(),
            format!("`{}`", need.formula),
            need.value.map_or("not run".into(), figure),
            need.label(),
            figure(need.budget),
            ratio_text(need.ratio()),
        ];
        line(out, &format!("| {} |", row.join(" | ")));
    }
    line(out, "");
    slopes(out, section);
    for note in &section.notes {
        line(out, &format!("{note}\n"));
    }
}

fn slopes(out: &mut String, section: &Section) {
    let mut unique = Vec::new();
    for slope in section.needs.iter().flat_map(|need| &need.slopes) {
        if !unique.contains(&slope) {
            unique.push(slope);
        }
    }
    if unique.is_empty() {
        return;
    }
    line(out, "| slope | fit | command |\n| --- | --- | --- |");
    for slope in unique {
        line(out, &format!("| {} | {} | `{}` |", slope.series, slope.text, slope.command));
    }
    line(out, "");
}

/// The plots of the points that this command measures.
fn own_plots(out: &mut String, points: &Points) {
    line(out, "## Plots of the slopes\n");
    for file in points.files().filter(|file| is_own(file)) {
        plots(out, points, file);
    }
}

/// Whether this command measures a file's points.
fn is_own(file: &str) -> bool {
    SOURCES.iter().any(|source| source.file == file)
}

/// The plots of a file.
fn plots(out: &mut String, points: &Points, file: &str) {
    for unit in points.units(file) {
        line(out, &format!("![{file}, {unit}](capacity/{})\n", plot_name(file, unit)));
    }
}

/// All series that other commands measured.
fn scale_runs(out: &mut String, model: &Model) {
    line(out, "## Scale runs\n");
    let others = model.points.files().filter(|file| !is_own(file) && ![MEMBERSHIP, HOLLOW].contains(file));
    for file in [MEMBERSHIP, HOLLOW].into_iter().chain(others) {
        let names = model.points.names(file);
        if names.is_empty() {
            line(out, &format!("`{file}`: not run.\n"));
            continue;
        }
        line(
            out,
            &format!("From `docs/capacity/{file}`; the exponent is of a power law through the points:\n"),
        );
        line(
            out,
            "| series | points: size = value | unit | lost | seeds | exponent | relative residual | at schedulers | command |",
        );
        line(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for name in names {
            line(out, &series(model, file, name));
        }
        line(out, "");
        plots(out, model.points, file);
    }
}

fn series(model: &Model, file: &str, name: &str) -> String {
    let points = model.points.series(file, name);
    let size = model.plan.schedulers;
    let reading = |point: &Point| point.value().map_or("unsettled".into(), figure);
    let values = points.iter().map(|point| format!("{} = {}", figure(point.size), reading(point)));
    let values: Vec<String> = values.collect();
    let fit = model.power(file, name);
    let at_plan_size = points.iter().find(|point| point.size == size);
    let plan_value = match (at_plan_size, fit) {
        (Some(point), _) => format!("{} (measured)", reading(point)),
        (None, Some((base, slope, _))) => {
            format!("{} (extrapolated)", figure((base + slope * size.ln()).exp()))
        }
        (None, None) => "not run".into(),
    };
    let text = |field: fn(&super::points::Point) -> &str| {
        points.first().map_or("-", |point| field(point)).to_string()
    };
    let row = [
        name.into(),
        values.join(", "),
        text(|point| &point.unit),
        text(|point| &point.lost),
        text(|point| &point.seeds),
        fit.map_or("-".into(), |(_, slope, _)| figure(slope)),
        fit.map_or("-".into(), |(.., residual)| format!("{:.1}%", residual * 100.0)),
        plan_value,
        format!("`{}`", model.points.commands(file, name).unwrap_or_default()),
    ];
    format!("| {} |", row.join(" | "))
}

fn sensitivity(out: &mut String, plan: &Plan, assumptions: &Assumptions, points: &Points) {
    line(out, "## Sensitivity\n");
    line(
        out,
        "Each assumption changed by itself; the largest ratio of each role (`=` as in the table), and what is missing \
         first then.\n",
    );
    let names: Vec<&str> = Role::ALL.iter().map(|role| role.name()).collect();
    line(out, &format!("| case | {} | missing first |", names.join(" | ")));
    line(out, &format!("| --- |{} --- |", " --- |".repeat(names.len())));
    let rows = sensitivity::run(plan, assumptions, points);
    let usual: Vec<String> = rows[0].ratios.iter().map(|ratio| ratio_text(*ratio)).collect();
    for (at, row) in rows.into_iter().enumerate() {
        let same = |(ratio, usual): (Option<f64>, &String)| {
            let text = ratio_text(ratio);
            if at > 0 && text == *usual { "=".into() } else { text }
        };
        let ratios: Vec<String> = row.ratios.into_iter().zip(&usual).map(same).collect();
        let first = row.first.map_or("nothing", short);
        line(out, &format!("| {} | {} | {first} |", row.case, ratios.join(" | ")));
    }
    line(out, "");
}

/// A short name of a mechanism.
fn short(missing: Missing) -> &'static str {
    match missing {
        Missing::ZonedMembership => "membership by zones",
        Missing::PartitionedDirectory => "split directory",
        Missing::CandidateIndex => "candidate index",
        Missing::VersionedConfiguration => "versioned configuration",
    }
}

fn decision(out: &mut String, sections: &[Section]) {
    line(out, "## Which mechanism is missing first\n");
    let Some(decision) = decide(sections) else {
        return line(out, "None: every role that was run is within its budget.");
    };
    line(
        out,
        &format!(
            "The role with the largest ratio of need to budget; near ties are those within a factor of {NEAR_TIE_FACTOR} of it, \
             and among them the mechanism that others depend on comes first.\n"
        ),
    );
    line(out, "| role over its budget | ratio | near tie | waits for |\n| --- | --- | --- | --- |");
    for (at, Ranked { role, ratio, missing }) in decision.ranked.iter().enumerate() {
        let near_tie = if at < decision.near_ties { "yes" } else { "no" };
        let missing = missing.map_or("no new mechanism", Missing::name);
        line(out, &format!("| {} | {} | {near_tie} | {missing} |", role.name(), figure(*ratio)));
    }
    line(out, "");
    line(out, &reason(&decision));
}

/// Repeats the decision with the largest ratios left out one by one, which shows whether it depends on a single role.
fn decision_without_largest(decision: &Decision) -> String {
    let mut rest = decision.ranked.as_slice();
    let (mut names, mut cases) = (Vec::new(), Vec::new());
    while let Some((largest, fewer)) = rest.split_first() {
        names.push(largest.role.name());
        rest = fewer;
        let Some(next) = super::decide::decide_ranked(rest) else { break };
        cases.push(format!("without {}: {}", names.join(", "), short(next.first)));
        if next.first != decision.first {
            break;
        }
    }
    if cases.is_empty() {
        return "With that role left out nothing else waits for a mechanism.".into();
    }
    format!("With the largest left out one by one, what would come first: {}.", cases.join("; "))
}

fn reason(decision: &Decision) -> String {
    let Decision { ranked, near_ties, first, is_by_dependency } = decision;
    let largest = &ranked[0];
    let ties: Vec<&str> = ranked[1..*near_ties].iter().map(|tie| tie.role.name()).collect();
    let ties = if ties.is_empty() {
        "no other role is a near tie".into()
    } else {
        format!("near ties: {}", ties.join(", "))
    };
    let waiting: Vec<&str> =
        ranked.iter().filter(|role| role.missing == Some(*first)).map(|ranked| ranked.role.name()).collect();
    let dependents: Vec<&str> = Missing::ALL
        .into_iter()
        .filter(|mechanism| super::decide::depends_on(*mechanism, *first))
        .map(short)
        .collect();
    let why = match is_by_dependency {
        true => "a near tie on which the mechanism of the largest ratio depends",
        false => "that of the largest ratio",
    };
    let dependents = if dependents.is_empty() { "none".into() } else { dependents.join(", ") };
    let without = decision_without_largest(decision);
    format!(
        "Largest: {}, {} times its budget; {ties}.\n\n**Missing first: {}** ({why}). Roles over their budget that \
         wait for it: {}. Missing mechanisms that depend on it: {dependents}.\n\n{without}",
        largest.role.name(),
        figure(largest.ratio),
        first.name(),
        waiting.join(", "),
    )
}
