//! Line charts as SVG.
//!
//! A chart is a column of panels with a common time axis. Each panel shows lines over time, with a
//! linear or a logarithmic value axis.

use std::fmt::Write;

/// A line of a panel.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Index of the colour, modulo the number of colours.
    pub colour: usize,
    /// Whether it is drawn with dashes.
    pub dashed: bool,
    /// Points (seconds, value), in order of time.
    pub points: Vec<(f64, f64)>,
}

/// A panel of a chart.
#[derive(Clone, Debug)]
pub struct Panel {
    /// Title, with the unit of the values.
    pub title: String,
    /// Whether the value axis is logarithmic.
    pub log_scale: bool,
    /// Lines, in the order of the legend.
    pub lines: Vec<Line>,
}

// Sizes and margins, in pixels.
const FIGURE_WIDTH: f64 = 960.0;
const PANEL_HEIGHT: f64 = 260.0;
const HEADER_HEIGHT: f64 = 40.0;
const LEFT_MARGIN: f64 = 70.0;
const RIGHT_MARGIN: f64 = 230.0;
const TOP_MARGIN: f64 = 30.0;
const BOTTOM_MARGIN: f64 = 30.0;
/// Colours that people with colour blindness can tell apart.
const COLOURS: [&str; 7] = [
    "#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000",
];

/// Draws panels with a time axis from 0 to `seconds`; returns the SVG document.
pub fn draw(title: &str, seconds: f64, panels: &[Panel]) -> String {
    let height = HEADER_HEIGHT + PANEL_HEIGHT * panels.len() as f64;
    let mut svg = String::new();
    let header = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{FIGURE_WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    svg.push_str(&header);
    push_text(&mut svg, LEFT_MARGIN, 24.0, "start", title);
    for (i, panel) in panels.iter().enumerate() {
        draw_panel(
            &mut svg,
            HEADER_HEIGHT + PANEL_HEIGHT * i as f64,
            seconds,
            panel,
        );
    }
    svg.push_str("</svg>\n");
    svg
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn push_element(svg: &mut String, element: std::fmt::Arguments<'_>) {
    svg.write_fmt(element).expect("a string takes any text");
    svg.push('\n');
}

fn push_text(svg: &mut String, x: f64, y: f64, anchor: &str, content: &str) {
    let content = escape(content);
    push_element(
        svg,
        format_args!("<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{content}</text>"),
    );
}

/// The values at which an axis has ticks: powers of ten, or multiples of a round step from 0.
fn ticks(min_value: f64, max_value: f64, log_scale: bool) -> Vec<f64> {
    if log_scale {
        let (first, last) = (
            min_value.log10().round() as i32,
            max_value.log10().round() as i32,
        );
        return (first..=last).map(|power| 10f64.powi(power)).collect();
    }
    let raw_step = max_value / 4.0;
    let unit = 10f64.powf(raw_step.log10().floor());
    let step = [1.0, 2.0, 5.0, 10.0].map(|n| n * unit);
    let step = step
        .into_iter()
        .find(|s| *s >= raw_step)
        .unwrap_or(raw_step);
    (0..=4)
        .map(|n| f64::from(n) * step)
        .filter(|tick| *tick <= max_value * 1.0001)
        .collect()
}

fn draw_panel(svg: &mut String, top: f64, seconds: f64, panel: &Panel) {
    let (left, right) = (LEFT_MARGIN, FIGURE_WIDTH - RIGHT_MARGIN);
    let (plot_top, plot_bottom) = (top + TOP_MARGIN, top + PANEL_HEIGHT - BOTTOM_MARGIN);
    let values = || panel.lines.iter().flat_map(|l| &l.points).map(|p| p.1);
    let max_value = values().fold(1.0, f64::max);
    let positive = values().filter(|v| *v > 0.0);
    let min_value = positive.fold(max_value, f64::min);
    // The ends of a logarithmic axis are powers of ten.
    let (min_value, max_value) = match panel.log_scale {
        true => {
            let first = min_value.log10().floor();
            let last = max_value.log10().ceil().max(first + 1.0);
            (10f64.powf(first), 10f64.powf(last))
        }
        false => (0.0, max_value),
    };
    let x = |second: f64| left + (right - left) * second / seconds.max(1e-9);
    let y = |value: f64| {
        let fraction = match panel.log_scale {
            true => (value.max(min_value) / min_value).log10() / (max_value / min_value).log10(),
            false => value / max_value,
        };
        plot_bottom - (plot_bottom - plot_top) * fraction
    };
    push_text(svg, left, plot_top - 8.0, "start", &panel.title);
    for tick in ticks(min_value, max_value, panel.log_scale) {
        let tick_y = y(tick);
        push_element(
            svg,
            format_args!(
                "<line x1=\"{left}\" y1=\"{tick_y:.1}\" x2=\"{right}\" y2=\"{tick_y:.1}\" \
                 stroke=\"#ddd\"/>"
            ),
        );
        push_text(svg, left - 6.0, tick_y + 4.0, "end", &format!("{tick}"));
    }
    for tick in ticks(0.0, seconds, false) {
        push_text(
            svg,
            x(tick),
            plot_bottom + 16.0,
            "middle",
            &format!("{tick} s"),
        );
    }
    push_element(
        svg,
        format_args!(
            "<path d=\"M{left} {plot_top} V{plot_bottom} H{right}\" \
             fill=\"none\" stroke=\"#444\"/>"
        ),
    );
    for (i, line) in panel.lines.iter().enumerate() {
        let colour = COLOURS[line.colour % COLOURS.len()];
        let dash = match line.dashed {
            true => " stroke-dasharray=\"4 3\"",
            false => "",
        };
        let mut points = String::new();
        for (second, value) in &line.points {
            let _ = write!(points, "{:.1},{:.1} ", x(*second), y(*value));
        }
        push_element(
            svg,
            format_args!(
                "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" \
                 stroke-width=\"1.5\"{dash}/>",
                points.trim_end()
            ),
        );
        let legend_y = plot_top + 6.0 + 16.0 * i as f64;
        let (legend_left, legend_right) = (right + 12.0, right + 36.0);
        push_element(
            svg,
            format_args!(
                "<line x1=\"{legend_left}\" y1=\"{legend_y:.1}\" x2=\"{legend_right}\" \
                 y2=\"{legend_y:.1}\" stroke=\"{colour}\" stroke-width=\"1.5\"{dash}/>"
            ),
        );
        push_text(svg, legend_right + 6.0, legend_y + 4.0, "start", &line.name);
    }
}
