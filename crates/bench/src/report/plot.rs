//! Plots as inline SVG.

use std::fmt::Write;

const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 180.0;
const MARGIN: f64 = 44.0;

/// A shaded span, in seconds since the start of the run.
pub(super) struct Band {
    pub(super) from: f64,
    pub(super) to: f64,
    pub(super) label: String,
}

/// Plots a value per second, with shaded spans behind the line.
pub(super) fn plot_per_second(title: &str, values: &[f64], bands: &[Band]) -> String {
    let maximum = values.iter().copied().fold(1.0, f64::max);
    let last = (values.len().max(2) - 1) as f64;
    let x = |second: f64| MARGIN + (second.clamp(0.0, last) / last) * (WIDTH - MARGIN - 8.0);
    let y = |value: f64| HEIGHT - 22.0 - (value / maximum) * (HEIGHT - 44.0);
    let mut svg = format!("<figure><figcaption>{}</figcaption>", escape(title));
    // Writing to a string cannot fail.
    let _ = write!(svg, "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\">");
    for band in bands {
        let (from, to) = (x(band.from), x(band.to.max(band.from + 0.5)));
        let _ = write!(
            svg,
            "<rect class=\"fault\" x=\"{from:.1}\" y=\"16\" width=\"{:.1}\" height=\"{:.1}\"><title>{}</title></rect>",
            (to - from).max(1.0),
            HEIGHT - 38.0,
            escape(&band.label)
        );
    }
    let points: Vec<String> = values
        .iter()
        .enumerate()
        .map(|(second, value)| format!("{:.1},{:.1}", x(second as f64), y(*value)))
        .collect();
    let _ = write!(svg, "<polyline points=\"{}\"/>", points.join(" "));
    let _ = write!(svg, "<text x=\"2\" y=\"{:.1}\">{maximum:.0}</text>", y(maximum) + 4.0);
    let _ = write!(svg, "<text x=\"2\" y=\"{:.1}\">0</text>", y(0.0) + 4.0);
    let _ = write!(svg, "<text x=\"{:.1}\" y=\"{HEIGHT}\">{last:.0} s</text>", WIDTH - 60.0);
    svg.push_str("</svg></figure>");
    svg
}

/// Escapes text for HTML.
pub(super) fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
