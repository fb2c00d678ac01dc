//! Draws the burn-rate report as an SVG chart with plotters.

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, SeriesLabelPosition, WHITE,
};

use super::FleetBurn;
use super::table::{format_window, level_name};

/// The size of the chart, in pixels.
const SIZE: (u32, u32) = (960, 540);
/// The minimum upper end of the burn-rate axis, which keeps the alert thresholds visible.
const MIN_RATE_AXIS_MAX: f64 = 16.0;
/// The width of the line samples in the legend, in pixels.
const LEGEND_WIDTH: i32 = 16;

/// The error for a chart that cannot be drawn.
#[derive(Debug, thiserror::Error)]
#[error("cannot draw the chart: {why}")]
pub(crate) struct DrawError {
    /// The message of the chart library.
    why: String,
}

/// Draws the burn rate of each service level by window, with a line at each alert threshold.
/// Returns the text of an SVG file.
pub(super) fn draw(report: &FleetBurn) -> Result<String, DrawError> {
    let mut text = String::new();
    draw_into(report, &mut text).map_err(|e| DrawError { why: e.to_string() })?;
    Ok(text)
}

fn draw_into(report: &FleetBurn, text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let Some(first) = report.levels.first() else {
        return Ok(());
    };
    let names: Vec<String> = first
        .windows
        .iter()
        .map(|w| format_window(w.window_s))
        .collect();
    let last = names.len().saturating_sub(1) as f64;
    let rates = report.levels.iter().flat_map(|level| &level.windows);
    let rate_axis_max = rates.map(|w| w.burn_rate).fold(MIN_RATE_AXIS_MAX, f64::max) * 1.05;
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Service-level burn", ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..last, 0.0..rate_axis_max)?;
    chart
        .configure_mesh()
        .x_labels(names.len())
        .x_label_formatter(&|x| names.get(x.round() as usize).cloned().unwrap_or_default())
        .x_desc("window")
        .y_desc("burn rate (1 uses up exactly the error budget)")
        .draw()?;
    for alert in &first.alerts {
        let line = [(0.0, alert.burn_rate), (last, alert.burn_rate)];
        chart.draw_series(LineSeries::new(line, BLACK.mix(0.3)))?;
    }
    for (index, level) in report.levels.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = level.windows.iter().enumerate();
        let points = points.map(|(x, window)| (x as f64, window.burn_rate));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(level_name(&level.level))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_WIDTH, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .border_style(BLACK.mix(0.3))
        .draw()?;
    area.present()?;
    Ok(())
}
