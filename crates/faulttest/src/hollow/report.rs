//! What a trial of hollow members has measured.

use std::collections::BTreeMap;

/// The first line of a file of measured rows.
pub const CSV_HEADER: &str = "series,size,value,unit,lost,seeds,command";

/// A measured figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value {
    /// In the row's unit.
    Measured(f64),
    /// Not reached in the stated time.
    Unsettled,
}

/// One figure of a trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// The figure.
    pub value: Value,
    /// Its unit.
    pub unit: &'static str,
}

/// The figures of a trial.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HollowReport {
    /// Members, hollow and real.
    pub size: usize,
    /// Share of datagrams lost as the trial began.
    pub loss_rate: f64,
    /// By series.
    pub rows: BTreeMap<&'static str, Row>,
    /// Steps after which members did not agree in time.
    pub unsettled_steps: Vec<String>,
    /// Steps whose figures do not count: the machine was too busy for the loops to keep time.
    pub overloaded_steps: Vec<String>,
    /// Real processes that ended by themselves, or not well.
    pub failed_processes: Vec<String>,
}

impl HollowReport {
    /// Adds a figure; of several in one series the worst stands.
    pub(crate) fn add(&mut self, series: &'static str, unit: &'static str, value: Value) {
        let row = self.rows.entry(series).or_insert(Row { value, unit });
        row.value = match (row.value, value) {
            (Value::Measured(one), Value::Measured(other)) => Value::Measured(one.max(other)),
            _ => Value::Unsettled,
        };
    }

    /// Whether every step settled in time that counts, and no process failed.
    pub fn passed(&self) -> bool {
        self.unsettled_steps.is_empty()
            && self.overloaded_steps.is_empty()
            && self.failed_processes.is_empty()
    }
}

/// The rows of a report as lines without the header; `command` names how it was made, without commas.
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
