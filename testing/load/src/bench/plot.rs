//! Plots as SVG.

use std::path::Path;

use plotters::prelude::*;

use super::BenchError;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (720, 420);
/// Room above the highest value.
const HEADROOM: f64 = 1.1;

/// Lines over one axis.
#[derive(Clone, Debug)]
pub struct Plot {
    /// The title.
    pub title: String,
    /// What the horizontal axis shows.
    pub x: String,
    /// What the vertical axis shows.
    pub y: String,
    /// The lines.
    pub lines: Vec<Line>,
}

/// One line.
#[derive(Clone, Debug)]
pub struct Line {
    /// Its name.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// Draws a plot into a file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn draw(plot: &Plot, file: &Path) -> Result<(), BenchError> {
    let failed = |error: &dyn std::fmt::Display| BenchError::Plot(error.to_string());
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| failed(&error))?;
    let (most_x, most_y) = most(plot);
    let mut chart = ChartBuilder::on(&root)
        .caption(&plot.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..most_x, 0.0..most_y)
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_desc(&plot.x)
        .y_desc(&plot.y)
        .draw()
        .map_err(|error| failed(&error))?;
    for (index, line) in plot.lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), &color).point_size(3))
            .map_err(|error| failed(&error))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(|error| failed(&error))?;
    root.present().map_err(|error| failed(&error))
}

fn most(plot: &Plot) -> (f64, f64) {
    let points = plot.lines.iter().flat_map(|line| &line.points);
    let most = points.fold((0.0_f64, 0.0_f64), |most, point| {
        (most.0.max(point.0), most.1.max(point.1))
    });
    (most.0.max(1e-9) * HEADROOM, most.1.max(1e-9) * HEADROOM)
}
