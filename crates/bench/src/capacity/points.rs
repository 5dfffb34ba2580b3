//! Measured points in CSV files: `series,size,value,unit,lost,seeds,command`, one file per source.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;
use thiserror::Error;

/// The header line of every file.
pub const HEADER: &str = "series,size,value,unit,lost,seeds,command";

/// Why a point file can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PointsError {
    /// The first line is not the header.
    #[error("{file}: the first line must be `{HEADER}`")]
    Header {
        /// The file's name.
        file: String,
    },
    /// A line does not have seven fields, or a number does not parse.
    #[error("{file}, line {line}: expected seven fields, size a finite number, value one too or `unsettled`")]
    Line {
        /// The file's name.
        file: String,
        /// The line number, from 1.
        line: usize,
    },
}

/// Written in place of the value of a run that ended before it settled.
const UNSETTLED: &str = "unsettled";

/// The result of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reading {
    /// The measured value.
    Value(f64),
    /// The run ended before the fleet settled.
    Unsettled,
}

/// One measured value.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// Name of the measured quantity, which ends with its unit.
    pub series: String,
    /// Size at which it was measured: number of members, workers, functions or events.
    pub size: f64,
    /// The result.
    pub reading: Reading,
    /// Unit of the value.
    pub unit: String,
    /// Share of datagrams lost, 0 to 1; 0 where none are sent.
    pub lost: String,
    /// Number of seeds or rounds that the value comes from.
    pub seeds: String,
    /// The command that measured it.
    pub command: String,
}

impl Point {
    /// A point measured by this command, from one round and without loss.
    pub fn new(series: &str, size: f64, value: f64, unit: &str) -> Self {
        let text = |text: &str| text.to_string();
        let (lost, seeds, command) = (text("0"), text("1"), text(super::COMMAND));
        let reading = Reading::Value(value);
        Self { series: text(series), size, reading, unit: text(unit), lost, seeds, command }
    }

    /// The value; `None` if the run did not settle.
    pub fn value(&self) -> Option<f64> {
        match self.reading {
            Reading::Value(value) => Some(value),
            Reading::Unsettled => None,
        }
    }

    fn read(text: &str) -> Option<Self> {
        let fields: Vec<&str> = text.split(',').map(str::trim).collect();
        let [series, size, value, unit, lost, seeds, command] = fields[..] else { return None };
        let number = |text: &str| text.parse::<f64>().ok().filter(|number| number.is_finite());
        let reading = match value {
            UNSETTLED => Reading::Unsettled,
            value => Reading::Value(number(value)?),
        };
        Some(Self {
            series: series.into(),
            size: number(size)?,
            reading,
            unit: unit.into(),
            lost: lost.into(),
            seeds: seeds.into(),
            command: command.into(),
        })
    }

    fn line(&self) -> String {
        let Self { series, size, reading, unit, lost, seeds, command } = self;
        let value = match reading {
            Reading::Value(value) => format!("{value:.4}"),
            Reading::Unsettled => UNSETTLED.into(),
        };
        format!("{series},{size},{value},{unit},{lost},{seeds},{command}\n")
    }
}

/// Parses the text of a point file; `file` is its name for error messages.
///
/// # Errors
/// If the header or a line is malformed.
pub fn read(file: &str, text: &str) -> Result<Vec<Point>, PointsError> {
    let mut lines = text.lines().enumerate();
    if lines.next().is_none_or(|(_, first)| first.trim() != HEADER) {
        return Err(PointsError::Header { file: file.into() });
    }
    let non_empty = lines.filter(|(_, line)| !line.trim().is_empty());
    let point = |(at, line): (usize, &str)| {
        Point::read(line).ok_or_else(|| PointsError::Line { file: file.into(), line: at + 1 })
    };
    non_empty.map(point).collect()
}

/// The text of a point file.
pub fn write(points: &[Point]) -> String {
    let lines: String = points.iter().map(Point::line).collect();
    format!("{HEADER}\n{lines}")
}

/// All points, by file name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Points {
    by_file: BTreeMap<String, Vec<Point>>,
}

impl Points {
    /// Reads every point file of a folder.
    ///
    /// # Errors
    /// If the folder or a file can't be read.
    pub fn read_folder(folder: &Path) -> Result<Self, Box<dyn Error>> {
        let mut by_file = BTreeMap::new();
        for entry in std::fs::read_dir(folder)? {
            let path = entry?.path();
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default().to_string();
            if path.extension().is_some_and(|extension| extension == "csv") {
                let points = read(&name, &std::fs::read_to_string(&path)?)?;
                by_file.insert(name, points);
            }
        }
        Ok(Self { by_file })
    }

    /// Adds the points of a file.
    #[cfg(test)]
    pub fn with(mut self, file: &str, points: Vec<Point>) -> Self {
        self.by_file.insert(file.into(), points);
        self
    }

    /// The names of the files.
    pub fn files(&self) -> impl Iterator<Item = &str> {
        self.by_file.keys().map(String::as_str)
    }

    /// The points of a series in a file, by size; of several points of one size, the last.
    pub fn series(&self, file: &str, series: &str) -> Vec<&Point> {
        let points = self.by_file.get(file).into_iter().flatten().filter(|point| point.series == series);
        let by_size: BTreeMap<u64, &Point> = points.map(|point| (point.size.to_bits(), point)).collect();
        by_size.into_values().collect()
    }

    /// The command that measured a series; if there were several, those of the smallest and the largest size.
    pub fn commands(&self, file: &str, series: &str) -> Option<String> {
        let points = self.series(file, series);
        let (first, last) = (&points.first()?.command, &points.last()?.command);
        Some(if first == last { first.clone() } else { format!("{first}` to `{last}") })
    }

    /// The units of a file's values, in order of appearance.
    pub fn units(&self, file: &str) -> Vec<&str> {
        let mut units = Vec::new();
        for point in self.by_file.get(file).into_iter().flatten() {
            if !units.contains(&point.unit.as_str()) {
                units.push(&point.unit);
            }
        }
        units
    }

    /// The names of a file's series, in order of appearance.
    pub fn names(&self, file: &str) -> Vec<&str> {
        let mut names = Vec::new();
        for point in self.by_file.get(file).into_iter().flatten() {
            if !names.contains(&point.series.as_str()) {
                names.push(&point.series);
            }
        }
        names
    }
}
