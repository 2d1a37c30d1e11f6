//! SVG plots of a run.
//!
//! A figure is a column of panels with a common time axis. Each panel has lines over time, with a
//! linear or a logarithmic axis.

use std::fmt::Write;

/// A line of a panel: points of (seconds, value).
#[derive(Clone, Debug)]
pub struct Line {
    /// Its name in the legend.
    pub name: String,
    /// Number of its colour; lines may share one.
    pub colour: usize,
    /// Whether it is drawn with dashes.
    pub dashed: bool,
    /// Its points in the order of time.
    pub points: Vec<(f64, f64)>,
}

/// A panel.
#[derive(Clone, Debug)]
pub struct Panel {
    /// Its title, with the unit.
    pub title: String,
    /// Whether its axis is logarithmic.
    pub log: bool,
    /// Its lines.
    pub lines: Vec<Line>,
}

const WIDTH: f64 = 960.0;
const PANEL: f64 = 260.0;
const HEAD: f64 = 40.0;
const LEFT: f64 = 70.0;
const RIGHT: f64 = 230.0;
const TOP: f64 = 30.0;
const BOTTOM: f64 = 30.0;
/// Colours that people with colour blindness can tell apart.
const COLOURS: [&str; 7] = [
    "#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000",
];

/// Draws panels over `seconds`.
pub fn draw(title: &str, seconds: f64, panels: &[Panel]) -> String {
    let height = HEAD + PANEL * panels.len() as f64;
    let mut svg = String::new();
    let head = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    svg.push_str(&head);
    text(&mut svg, LEFT, 24.0, "start", title);
    for (i, panel) in panels.iter().enumerate() {
        draw_panel(&mut svg, HEAD + PANEL * i as f64, seconds, panel);
    }
    svg.push_str("</svg>\n");
    svg
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn push(svg: &mut String, element: std::fmt::Arguments<'_>) {
    svg.write_fmt(element).expect("a string takes any text");
    svg.push('\n');
}

fn text(svg: &mut String, x: f64, y: f64, anchor: &str, content: &str) {
    let content = escape(content);
    push(
        svg,
        format_args!("<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{content}</text>"),
    );
}

/// The values at which an axis up to `most` has marks.
fn marks(least: f64, most: f64, log: bool) -> Vec<f64> {
    if log {
        let (first, last) = (least.log10().round() as i32, most.log10().round() as i32);
        return (first..=last).map(|power| 10f64.powi(power)).collect();
    }
    let rough = most / 4.0;
    let unit = 10f64.powf(rough.log10().floor());
    let step = [1.0, 2.0, 5.0, 10.0].map(|n| n * unit);
    let step = step.into_iter().find(|s| *s >= rough).unwrap_or(rough);
    (0..=4)
        .map(|n| f64::from(n) * step)
        .filter(|mark| *mark <= most * 1.0001)
        .collect()
}

fn draw_panel(svg: &mut String, top: f64, seconds: f64, panel: &Panel) {
    let (left, right) = (LEFT, WIDTH - RIGHT);
    let (high, low) = (top + TOP, top + PANEL - BOTTOM);
    let values = || panel.lines.iter().flat_map(|l| &l.points).map(|p| p.1);
    let most = values().fold(1.0, f64::max);
    let positive = values().filter(|v| *v > 0.0);
    let least = positive.fold(most, f64::min);
    // A logarithmic axis ends at powers of ten.
    let (least, most) = match panel.log {
        true => {
            let first = least.log10().floor();
            let last = most.log10().ceil().max(first + 1.0);
            (10f64.powf(first), 10f64.powf(last))
        }
        false => (0.0, most),
    };
    let x = |at: f64| left + (right - left) * at / seconds.max(1e-9);
    let y = |value: f64| {
        let part = match panel.log {
            true => (value.max(least) / least).log10() / (most / least).log10(),
            false => value / most,
        };
        low - (low - high) * part
    };
    text(svg, left, high - 8.0, "start", &panel.title);
    for mark in marks(least, most, panel.log) {
        let at = y(mark);
        push(
            svg,
            format_args!(
                "<line x1=\"{left}\" y1=\"{at:.1}\" x2=\"{right}\" y2=\"{at:.1}\" stroke=\"#ddd\"/>"
            ),
        );
        text(svg, left - 6.0, at + 4.0, "end", &format!("{mark}"));
    }
    for mark in marks(0.0, seconds, false) {
        text(svg, x(mark), low + 16.0, "middle", &format!("{mark} s"));
    }
    push(
        svg,
        format_args!("<path d=\"M{left} {high} V{low} H{right}\" fill=\"none\" stroke=\"#444\"/>"),
    );
    for (i, line) in panel.lines.iter().enumerate() {
        let colour = COLOURS[line.colour % COLOURS.len()];
        let dash = match line.dashed {
            true => " stroke-dasharray=\"4 3\"",
            false => "",
        };
        let mut points = String::new();
        for (at, value) in &line.points {
            let _ = write!(points, "{:.1},{:.1} ", x(*at), y(*value));
        }
        push(
            svg,
            format_args!(
                "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" \
                 stroke-width=\"1.5\"{dash}/>",
                points.trim_end()
            ),
        );
        let at = high + 6.0 + 16.0 * i as f64;
        let (from, to) = (right + 12.0, right + 36.0);
        push(
            svg,
            format_args!(
                "<line x1=\"{from}\" y1=\"{at:.1}\" x2=\"{to}\" y2=\"{at:.1}\" \
                 stroke=\"{colour}\" stroke-width=\"1.5\"{dash}/>"
            ),
        );
        text(svg, to + 6.0, at + 4.0, "start", &line.name);
    }
}
