//! The capacity page: what each role of the program needs at the size of the users' plan, computed from slopes that are
//! measured here or read from the points of other commands, and which missing mechanism has to be built first.
//!
//! Input: measured points in a folder, one CSV file per source. Output: the page, its plots and the points that this
//! command measures. A run takes some minutes; with `--from-points` nothing is measured.

mod decide;
mod fit;
mod measure;
mod page;
mod plan;
mod points;
mod roles;
mod sensitivity;
#[cfg(test)]
mod tests;

use crate::plot::{Curve, Plot};
pub use measure::Probe;
use measure::{Extent, SOURCES};
use plan::{Assumptions, Plan};
use points::Points;
use std::collections::BTreeSet;
use std::error::Error;
use std::path::PathBuf;
use std::time::Instant;

/// The command that the points of this module record as their source.
pub const COMMAND: &str = "basaltward-bench capacity";

/// Arguments of the command.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Measure only the smallest sizes, as a quick check; write the results elsewhere with --points and --page
    #[arg(long)]
    quick: bool,
    /// Measure nothing; write the page from the existing points
    #[arg(long, conflicts_with_all = ["quick", "only"])]
    from_points: bool,
    /// Measure only these point files, given by name
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Folder of the point files and plots
    #[arg(long, default_value = "docs/capacity")]
    points: PathBuf,
    /// File that the page is written to
    #[arg(long, default_value = "docs/CAPACITY.md")]
    page: PathBuf,
}

/// Measures unless `--from-points` is given, then writes the plots and the page.
///
/// # Errors
/// If a measurement fails or a file can't be read or written.
pub fn run(options: &Options) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(&options.points)?;
    if !options.from_points {
        measure(options)?;
    }
    let points = Points::read_folder(&options.points)?;
    for file in points.files() {
        for unit in points.units(file) {
            svg::save(options.points.join(plot_name(file, unit)), &plot(file, unit, &points).draw())?;
        }
    }
    let (plan, assumptions) = (Plan::USERS, Assumptions::USUAL.resolved(&Plan::USERS));
    std::fs::write(&options.page, page::page(&plan, &assumptions, &points))?;
    println!("wrote {}", options.page.display());
    Ok(())
}

fn measure(options: &Options) -> Result<(), Box<dyn Error>> {
    let extent = if options.quick { Extent::Quick } else { Extent::Full };
    let is_source = |name: &String| SOURCES.iter().any(|source| source.file == name);
    if let Some(unknown) = options.only.iter().find(|name| !is_source(name)) {
        let names: Vec<_> = SOURCES.iter().map(|source| source.file).collect();
        return Err(format!(
            "{unknown}: not a point file of this command; valid names: {}",
            names.join(", ")
        )
        .into());
    }
    let is_selected = |file: &str| options.only.is_empty() || options.only.iter().any(|name| name == file);
    let sources: Vec<_> = SOURCES.iter().filter(|source| is_selected(source.file)).collect();
    for (at, source) in sources.iter().enumerate() {
        eprint!("{} of {}: {} ... ", at + 1, sources.len(), source.description);
        let start = Instant::now();
        let points = (source.measure)(extent)?;
        std::fs::write(options.points.join(source.file), points::write(&points))?;
        eprintln!("{} points in {:.0} s", points.len(), start.elapsed().as_secs_f64());
    }
    Ok(())
}

/// The file name of the plot of one unit of a point file.
fn plot_name(file: &str, unit: &str) -> String {
    format!("{}-{}.svg", file.trim_end_matches(".csv"), unit.replace('/', "-per-"))
}

/// A plot of all series of a file that have this unit, over size.
fn plot(file: &str, unit: &str, points: &Points) -> Plot {
    let values = |name: &str| -> Vec<(f64, f64)> {
        let with_unit =
            points.series(file, name).into_iter().filter(|point| point.unit == unit && point.size >= 1.0);
        with_unit.filter_map(|point| Some((point.size, point.value()?))).collect()
    };
    let curve = |(colour, name): (usize, &str)| Curve {
        label: name.into(),
        points: values(name),
        colour,
        is_dashed: false,
    };
    let with_values = points.names(file).into_iter().filter(|name| !values(name).is_empty());
    let curves: Vec<Curve> = with_values.enumerate().map(curve).collect();
    let marks: BTreeSet<u64> =
        curves.iter().flat_map(|curve| &curve.points).map(|(size, _)| *size as u64).collect();
    Plot {
        title: file.replace(".csv", " over size"),
        marks: marks.into_iter().map(|mark| mark as f64).collect(),
        unit: unit.into(),
        curves,
    }
}
