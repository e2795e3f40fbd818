//! Draws a run over time as an SVG picture, with its faults marked.

use plotters::prelude::*;

use crate::load::report::{LoadReport, SecondFigures};

/// The picture's width and height, in pixels.
const PICTURE_SIZE: (u32, u32) = (960, 540);
/// Space for the labels of the axes, in pixels.
const LABEL_AREA_SIZE: u32 = 56;

/// Draws done and other outcomes a second, and below them the 99th percentile
/// of latency; a red line marks the start of a fault.
///
/// # Errors
///
/// The error of the drawing library, as text.
pub fn plot_report(report: &LoadReport) -> Result<String, String> {
    let mut picture = String::new();
    draw_picture(&mut picture, report).map_err(|error| error.to_string())?;
    Ok(picture)
}

/// Draws both halves of the picture.
fn draw_picture(
    picture: &mut String,
    report: &LoadReport,
) -> Result<(), PictureError> {
    let backend = SVGBackend::with_string(picture, PICTURE_SIZE);
    let area = backend.into_drawing_area();
    area.fill(&WHITE)?;
    let (top, bottom) = area.split_vertically(PICTURE_SIZE.1 / 2);
    let done = |s: &SecondFigures| to_float(s.done);
    let other = |s: &SecondFigures| to_float(s.other);
    let rates = [curve(report, GREEN, done), curve(report, RED, other)];
    let caption = "answers (green) and others (red) a second";
    draw(&top, caption, report, &rates)?;
    let latency = [curve(report, BLUE, |s| s.p99)];
    draw(&bottom, "99th percentile, ms", report, &latency)?;
    area.present()
}

/// An error of the drawing library.
type PictureError =
    DrawingAreaErrorKind<<SVGBackend<'static> as DrawingBackend>::ErrorType>;

/// One curve of a picture.
struct Curve {
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

fn curve(
    report: &LoadReport,
    color: RGBColor,
    value: impl Fn(&SecondFigures) -> f64,
) -> Curve {
    let seconds = report.seconds.iter().zip(0_u32..);
    let points = seconds.map(|(s, at)| (f64::from(at), value(s))).collect();
    Curve { color, points }
}

fn draw<B: DrawingBackend>(
    area: &DrawingArea<B, plotters::coord::Shift>,
    caption: &str,
    report: &LoadReport,
    curves: &[Curve],
) -> Result<(), DrawingAreaErrorKind<B::ErrorType>> {
    let values = curves.iter().flat_map(|curve| &curve.points);
    let top = values.map(|(_, value)| *value).fold(1.0, f64::max) * 1.05;
    let width = to_float(report.seconds.len() as u64).max(1.0);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(LABEL_AREA_SIZE / 2)
        .y_label_area_size(LABEL_AREA_SIZE)
        .build_cartesian_2d(0.0..width, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for curve in curves {
        let points = curve.points.iter().copied();
        chart.draw_series(LineSeries::new(points, curve.color))?;
    }
    for fault in &report.faults {
        let at = to_float(fault.second);
        let line = [(at, 0.0), (at, top)];
        chart.draw_series(LineSeries::new(line, RED))?;
        let name = Text::new(
            fault.name.clone(),
            (at, top * 0.95),
            ("sans-serif", 12),
        );
        chart.draw_series(std::iter::once(name))?;
    }
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "counts of one run are small")]
const fn to_float(count: u64) -> f64 {
    count as f64
}
