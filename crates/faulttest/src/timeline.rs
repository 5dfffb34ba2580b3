//! The course of a run, a lane for each scheduler: who was up, stalled, stopped, cut off when.

use crate::link::{Link, Party};
use crate::process::Process;
use crate::process::StateChange;
use basaltward_net::Micros;
use svg::Document;
use svg::node::Text as Letters;
use svg::node::element::{Line, Rectangle, Text, Title};

/// One spell of a lane, from and until, in microseconds of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interval {
    /// When it begins.
    pub from: Micros,
    /// When it ends.
    pub until: Micros,
    /// `up`, `stalled`, `stopping`, `cut`.
    pub state: &'static str,
}

/// A scheduler's name with its spells by time.
pub type TimelineLane = (String, Vec<Interval>);

/// The lanes of processes from `began` until `end`, cut where their clients' ways were.
pub fn timeline_lanes<'a>(
    processes: impl Iterator<Item = (Party, &'a Process)>,
    faults: &[(Micros, Link, String)],
    (began, end): (Micros, Micros),
) -> Vec<TimelineLane> {
    let lane = |(party, process): (Party, &Process)| {
        let mut spells = Vec::new();
        let mut open: Option<(Micros, &'static str)> = None;
        let mut turn = |t: Micros, next: Option<&'static str>, spells: &mut Vec<Interval>| {
            let at = t.saturating_sub(began);
            let ended = open.take().map(|(from, what)| Interval { from, until: at, state: what });
            spells.extend(ended);
            open = next.map(|what| (at, what));
        };
        for (t, change) in &process.changes {
            let next = match change {
                StateChange::Up | StateChange::Resumed => Some("up"),
                StateChange::Stalled => Some("stalled"),
                StateChange::Stopping => Some("stopping"),
                StateChange::Ended(_) | StateChange::Killed | StateChange::Crashed => None,
            };
            turn(*t, next, &mut spells);
        }
        turn(end, None, &mut spells);
        let mut since = None;
        for (t, way, what) in faults {
            if way.from != Party::Clients || way.to != party {
                continue;
            }
            let at = t.saturating_sub(began);
            if what != "pass" {
                since.get_or_insert(at);
            } else if let Some(from) = since.take() {
                spells.push(Interval { from, until: at, state: "cut" });
            }
        }
        let until = end.saturating_sub(began);
        spells.extend(since.map(|from| Interval { from, until, state: "cut" }));
        (party.to_string(), spells)
    };
    processes.map(lane).collect()
}

const LEFT: f64 = 60.0;
const WIDTH: f64 = 900.0;
const ROW: f64 = 18.0;

/// The lanes as a picture.
pub fn timeline_svg(lanes: &[TimelineLane]) -> String {
    let end = lanes.iter().flat_map(|(_, s)| s.iter().map(|s| s.until)).max().unwrap_or(1).max(1) as f64;
    let x = |t: Micros| LEFT + t as f64 / end * WIDTH;
    let height = ROW * (lanes.len() as f64 + 2.0);
    let text = |x: f64, y: f64, letters: String| {
        Text::new("").set("x", x).set("y", y).set("font-size", 11).add(Letters::new(letters))
    };
    let (whole_width, font) = (LEFT + WIDTH + 40.0, "sans-serif");
    let mut page = Document::new()
        .set("viewBox", (0.0, 0.0, whole_width, height))
        .set("width", whole_width)
        .set("font-family", font);
    for second in 0..=(end / 1e6) as u64 {
        let at = x(second * 1_000_000);
        let line = Line::new().set("x1", at).set("x2", at).set("y1", ROW).set("y2", height - ROW);
        page = page.add(line.set("stroke", "#dddddd")).add(text(at, height - 4.0, format!("{second} s")));
    }
    for (row, (name, spells)) in lanes.iter().enumerate() {
        let top = ROW * (row as f64 + 1.0);
        page = page.add(text(4.0, top + 12.0, name.clone()));
        for spell in spells {
            let (color, inset) = match spell.state {
                "up" => ("#7fb37f", 3.0),
                "stalled" => ("#d9a441", 3.0),
                "stopping" => ("#8899bb", 3.0),
                _ => ("#b34a4a", 9.0),
            };
            let told = format!("{name} {} {}-{} ms", spell.state, spell.from / 1_000, spell.until / 1_000);
            let bar = Rectangle::new()
                .set("x", x(spell.from))
                .set("y", top + inset)
                .set("width", (x(spell.until) - x(spell.from)).max(1.0))
                .set("height", ROW - 3.0 - inset)
                .set("fill", color);
            page = page.add(bar.add(Title::new(told)));
        }
    }
    page.to_string()
}
