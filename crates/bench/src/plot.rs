//! SVG plots of measured points, used by all commands that draw.

use svg::Document;
use svg::node::Text as TextNode;
use svg::node::element::{Circle, Line, Polyline, Text};

/// Width and height of a plot, in SVG units.
const SIZE: (f64, f64) = (820.0, 420.0);
/// Margin around the plot area.
const MARGIN: f64 = 60.0;
/// Width of the legend.
const LEGEND_WIDTH: f64 = 290.0;
/// Height of a line of the legend.
const LEGEND_LINE_HEIGHT: f64 = 18.0;
/// Width of a label of the horizontal axis.
const LABEL_WIDTH: f64 = 44.0;
/// Colours of the curves, used in turn.
const COLOURS: [&str; 6] = ["#1b6ca8", "#c0392b", "#27864d", "#8e5ea2", "#b9770e", "#555555"];

/// One curve of a plot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Curve {
    /// Text in the legend; empty for no entry.
    pub label: String,
    /// Points as (x, y).
    pub points: Vec<(f64, f64)>,
    /// Index of the colour, modulo the number of colours.
    pub colour: usize,
    /// Whether the line is dashed.
    pub is_dashed: bool,
}

/// A plot with two logarithmic axes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plot {
    /// Title above the plot.
    pub title: String,
    /// Labelled values of the horizontal axis, ascending.
    pub marks: Vec<f64>,
    /// Unit of the vertical axis.
    pub unit: String,
    /// The curves.
    pub curves: Vec<Curve>,
}

fn text_at((x, y): (f64, f64), text: String) -> Text {
    Text::new("").set("x", rounded(x)).set("y", rounded(y)).set("font-size", 12).add(TextNode::new(text))
}

/// Rounds to a tenth, so that the same points give the same file.
fn rounded(at: f64) -> f64 {
    (at * 10.0).round() / 10.0
}

impl Plot {
    /// The exponents of the powers of ten that enclose all values.
    fn decades(&self) -> (i32, i32) {
        let all = self.curves.iter().flat_map(|curve| &curve.points).map(|(_, y)| *y).filter(|y| *y > 0.0);
        let (low, high) = all.fold((f64::MAX, f64::MIN), |(low, high), y| (low.min(y), high.max(y)));
        if low > high {
            return (0, 1);
        }
        let (low, high) = (low.log10().floor() as i32, high.log10().ceil() as i32);
        (low, high.max(low + 1))
    }

    /// Draws the plot.
    pub fn draw(&self) -> Document {
        let (width, height) = SIZE;
        let (low, high) = self.decades();
        let first = self.marks.first().copied().unwrap_or(1.0).max(f64::MIN_POSITIVE).log10();
        let last = self.marks.last().copied().unwrap_or(10.0).log10().max(first + 0.1);
        let x = |at: f64| {
            MARGIN + (at.max(1e-9).log10() - first) / (last - first) * (width - MARGIN - LEGEND_WIDTH)
        };
        let floor = f64::powi(10.0, low);
        let y = |at: f64| {
            let part = (at.max(floor).log10() - f64::from(low)) / f64::from(high - low);
            height - MARGIN - part * (height - 1.8 * MARGIN)
        };
        let mut document =
            Document::new().set("viewBox", (0, 0, width, height)).set("font-family", "sans-serif");
        for power in low..=high {
            let at = rounded(y(f64::powi(10.0, power)));
            let line = Line::new()
                .set("x1", MARGIN)
                .set("x2", width - LEGEND_WIDTH + 20.0)
                .set("y1", at)
                .set("y2", at);
            document = document.add(line.set("stroke", "#ddd"));
            document = document.add(text_at((4.0, at + 4.0), power_text(power)));
        }
        let mut next_free = 0.0;
        for mark in &self.marks {
            // Labels that would overlap the previous one are left out.
            let at = x(*mark) - 10.0;
            if at >= next_free {
                document = document.add(text_at((at, height - MARGIN + 20.0), format!("{mark}")));
                next_free = at + LABEL_WIDTH;
            }
        }
        document = document.add(text_at((MARGIN, 18.0), format!("{} ({})", self.title, self.unit)));
        for curve in &self.curves {
            document = curve.draw(document, &x, &y);
        }
        let labelled = self.curves.iter().filter(|curve| !curve.label.is_empty());
        for (at, curve) in labelled.enumerate() {
            let place = (width - LEGEND_WIDTH + 26.0, 40.0 + LEGEND_LINE_HEIGHT * at as f64);
            document = document.add(text_at(place, curve.label.clone()).set("fill", curve.colour()));
        }
        document
    }
}

fn power_text(power: i32) -> String {
    match power {
        0..=5 => format!("{}", 10_u32.pow(power as u32)),
        _ => format!("1e{power}"),
    }
}

impl Curve {
    fn colour(&self) -> &'static str {
        COLOURS[self.colour % COLOURS.len()]
    }

    fn draw(&self, document: Document, x: &dyn Fn(f64) -> f64, y: &dyn Fn(f64) -> f64) -> Document {
        let colour = self.colour();
        let points: Vec<_> = self.points.iter().map(|(at, value)| (x(*at), y(*value))).collect();
        let path: Vec<_> = points.iter().map(|(x, y)| format!("{x:.1},{y:.1}")).collect();
        let dashes = if self.is_dashed { "5,4" } else { "" };
        let line = Polyline::new().set("points", path.join(" ")).set("fill", "none").set("stroke", colour);
        let mut document = document.add(line.set("stroke-width", 2).set("stroke-dasharray", dashes));
        for (x, y) in &points {
            let (x, y) = (rounded(*x), rounded(*y));
            document = document.add(Circle::new().set("cx", x).set("cy", y).set("r", 3).set("fill", colour));
        }
        document
    }
}
