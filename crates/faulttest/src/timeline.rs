//! Timeline of a run with one lane per process: when it was up, stalled, stopping or cut off from its clients.

use crate::link::{Link, Party};
use crate::process::Process;
use crate::process::StateChange;
use basaltward_net::Micros;
use svg::Document;
use svg::node::Text as TextNode;
use svg::node::element::{Line, Rectangle, Text, Title};

/// One interval of a lane, in microseconds since the start of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interval {
    /// Start of the interval.
    pub from: Micros,
    /// End of the interval.
    pub until: Micros,
    /// `up`, `stalled`, `stopping` or `cut`.
    pub state: &'static str,
}

/// A process's name with its intervals.
pub type TimelineLane = (String, Vec<Interval>);

/// The lanes of processes from `began` until `end`, with `cut` intervals from the faults on the clients' links to them.
pub fn timeline_lanes<'a>(
    processes: impl Iterator<Item = (Party, &'a Process)>,
    faults: &[(Micros, Link, String)],
    (began, end): (Micros, Micros),
) -> Vec<TimelineLane> {
    let lane = |(party, process): (Party, &Process)| {
        let mut intervals = Vec::new();
        let mut current: Option<(Micros, &'static str)> = None;
        let mut change_state = |t: Micros, next: Option<&'static str>, intervals: &mut Vec<Interval>| {
            let at = t.saturating_sub(began);
            let ended = current.take().map(|(from, state)| Interval { from, until: at, state });
            intervals.extend(ended);
            current = next.map(|state| (at, state));
        };
        for (t, change) in &process.changes {
            let next = match change {
                StateChange::Up | StateChange::Resumed => Some("up"),
                StateChange::Stalled => Some("stalled"),
                StateChange::Stopping => Some("stopping"),
                StateChange::Exited(_) | StateChange::Killed | StateChange::Crashed => None,
            };
            change_state(*t, next, &mut intervals);
        }
        change_state(end, None, &mut intervals);
        let mut since = None;
        for (t, link, fault) in faults {
            if link.from != Party::Clients || link.to != party {
                continue;
            }
            let at = t.saturating_sub(began);
            if fault != "pass" {
                since.get_or_insert(at);
            } else if let Some(from) = since.take() {
                intervals.push(Interval { from, until: at, state: "cut" });
            }
        }
        let until = end.saturating_sub(began);
        intervals.extend(since.map(|from| Interval { from, until, state: "cut" }));
        (party.to_string(), intervals)
    };
    processes.map(lane).collect()
}

const LABEL_WIDTH: f64 = 60.0;
const CHART_WIDTH: f64 = 900.0;
const ROW_HEIGHT: f64 = 18.0;

/// Draws the lanes as an SVG image.
pub fn timeline_svg(lanes: &[TimelineLane]) -> String {
    let end = lanes.iter().flat_map(|(_, s)| s.iter().map(|s| s.until)).max().unwrap_or(1).max(1) as f64;
    let x = |t: Micros| LABEL_WIDTH + t as f64 / end * CHART_WIDTH;
    let height = ROW_HEIGHT * (lanes.len() as f64 + 2.0);
    let text = |x: f64, y: f64, label: String| {
        Text::new("").set("x", x).set("y", y).set("font-size", 11).add(TextNode::new(label))
    };
    let (page_width, font) = (LABEL_WIDTH + CHART_WIDTH + 40.0, "sans-serif");
    let mut page = Document::new()
        .set("viewBox", (0.0, 0.0, page_width, height))
        .set("width", page_width)
        .set("font-family", font);
    for second in 0..=(end / 1e6) as u64 {
        let at = x(second * 1_000_000);
        let line =
            Line::new().set("x1", at).set("x2", at).set("y1", ROW_HEIGHT).set("y2", height - ROW_HEIGHT);
        page = page.add(line.set("stroke", "#dddddd")).add(text(at, height - 4.0, format!("{second} s")));
    }
    for (row, (name, intervals)) in lanes.iter().enumerate() {
        let top = ROW_HEIGHT * (row as f64 + 1.0);
        page = page.add(text(4.0, top + 12.0, name.clone()));
        for interval in intervals {
            let (color, inset) = match interval.state {
                "up" => ("#7fb37f", 3.0),
                "stalled" => ("#d9a441", 3.0),
                "stopping" => ("#8899bb", 3.0),
                _ => ("#b34a4a", 9.0),
            };
            let tooltip =
                format!("{name} {} {}-{} ms", interval.state, interval.from / 1_000, interval.until / 1_000);
            let bar = Rectangle::new()
                .set("x", x(interval.from))
                .set("y", top + inset)
                .set("width", (x(interval.until) - x(interval.from)).max(1.0))
                .set("height", ROW_HEIGHT - 3.0 - inset)
                .set("fill", color);
            page = page.add(bar.add(Title::new(tooltip)));
        }
    }
    page.to_string()
}
