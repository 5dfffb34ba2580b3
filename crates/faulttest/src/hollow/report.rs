//! Measurements of a run with hollow members.

use std::collections::BTreeMap;

/// Header line of the CSV file.
pub const CSV_HEADER: &str = "series,size,value,unit,lost,seeds,command";

/// A measured value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value {
    /// In the row's unit.
    Measured(f64),
    /// The members did not agree within the time limit.
    Unsettled,
}

/// One measurement of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// The value.
    pub value: Value,
    /// The unit of the value.
    pub unit: &'static str,
}

/// The measurements of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HollowReport {
    /// Number of members, hollow and real.
    pub size: usize,
    /// Injected loss rate at the start of the run.
    pub loss_rate: f64,
    /// Measurements by series.
    pub rows: BTreeMap<&'static str, Row>,
    /// Steps after which the members did not agree within the time limit.
    pub unsettled_steps: Vec<String>,
    /// Steps whose measurements are void because the machine was too busy for the event loops to keep time.
    pub overloaded_steps: Vec<String>,
    /// Real processes that exited by themselves or did not stop properly.
    pub failed_processes: Vec<String>,
}

impl HollowReport {
    /// Adds a measurement. A series keeps its worst value.
    pub(crate) fn add(&mut self, series: &'static str, unit: &'static str, value: Value) {
        let row = self.rows.entry(series).or_insert(Row { value, unit });
        row.value = match (row.value, value) {
            (Value::Measured(one), Value::Measured(other)) => Value::Measured(one.max(other)),
            _ => Value::Unsettled,
        };
    }

    /// Whether every step settled in time with valid measurements, and no process failed.
    pub fn passed(&self) -> bool {
        self.unsettled_steps.is_empty()
            && self.overloaded_steps.is_empty()
            && self.failed_processes.is_empty()
    }
}

/// The CSV lines of a report, without the header. `command` is the command that made it; it must not contain commas.
pub fn csv_rows(report: &HollowReport, command: &str) -> Vec<String> {
    let line = |(series, row): (&&str, &Row)| {
        let value = match row.value {
            Value::Measured(value) => format!("{value:.0}"),
            Value::Unsettled => "unsettled".into(),
        };
        format!("{series},{},{value},{},{},1,{command}", report.size, row.unit, report.loss_rate)
    };
    report.rows.iter().map(line).collect()
}
