//! Plots a study: service against the number of gateways, with a row of panels for each script and a line for each variant.

use super::run::ORACLE;
use super::table::Row;
use plotters::prelude::*;
use std::error::Error;

type Figure = (&'static str, fn(&Row) -> f64);

/// Width and height of a panel, in pixels.
const PANEL: (u32, u32) = (420, 280);
const COLOURS: [RGBColor; 6] =
    [BLACK, BLUE, RED, RGBColor(0, 140, 70), RGBColor(230, 140, 0), RGBColor(130, 60, 160)];

/// The plots as SVG: service of the whole run on the left, of the worst 10 s on the right; the upper bound is a thin grey line.
///
/// # Errors
/// Drawing fails; for a picture in memory this means that a figure is not a finite number.
pub fn svg(rows: &[Row]) -> Result<String, Box<dyn Error>> {
    let mut scripts: Vec<&str> = rows.iter().map(|row| row.script.as_str()).collect();
    scripts.dedup();
    let mut text = String::new();
    {
        let size = (2 * PANEL.0, PANEL.1 * scripts.len().max(1) as u32);
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&WHITE)?;
        let panels = area.split_evenly((scripts.len().max(1), 2));
        for (script_index, script) in scripts.iter().enumerate() {
            let of_script: Vec<&Row> = rows.iter().filter(|row| row.script == *script).collect();
            let figures: [Figure; 2] =
                [("service", |row| row.whole.mean), ("worst 10 s", |row| row.worst_10s.mean)];
            for (column, (title, of)) in figures.into_iter().enumerate() {
                let sizes = || of_script.iter().map(|row| row.gateways as f64);
                let (fewest, most) = (sizes().fold(f64::INFINITY, f64::min), sizes().fold(2.0, f64::max));
                let fewest = fewest.min(most - 1.0).max(1.0);
                let least = of_script.iter().map(|row| of(row)).fold(1.0, f64::min);
                let mut chart = ChartBuilder::on(&panels[2 * script_index + column])
                    .caption(format!("{script}: {title}"), ("sans-serif", 15))
                    .margin(6)
                    .x_label_area_size(28)
                    .y_label_area_size(48)
                    .build_cartesian_2d((fewest..most).log_scale(), (least - 0.01)..1.0)?;
                chart.configure_mesh().light_line_style(TRANSPARENT).x_desc("gateways").draw()?;
                let mut variants: Vec<&str> = Vec::new();
                for row in &of_script {
                    if !variants.contains(&row.variant.as_str()) {
                        variants.push(&row.variant);
                    }
                }
                for variant in variants {
                    let of_variant = || of_script.iter().filter(|row| row.variant == variant);
                    // The upper bound has no index among the variants and is drawn as a thin grey line.
                    let index = names(rows).iter().position(|name| *name == variant);
                    let colour =
                        index.map_or(RGBColor(150, 150, 150), |index| COLOURS[index % COLOURS.len()]);
                    let points: Vec<_> = of_variant().map(|row| (row.gateways as f64, of(row))).collect();
                    chart
                        .draw_series(LineSeries::new(
                            points.iter().copied(),
                            colour.stroke_width(1 + u32::from(index.is_some())),
                        ))?
                        .label(variant)
                        .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
                    chart.draw_series(points.iter().map(|point| Circle::new(*point, 3, colour.filled())))?;
                }
                let legend = SeriesLabelPosition::LowerLeft;
                chart.configure_series_labels().position(legend).background_style(WHITE).draw()?;
            }
        }
        area.present()?;
    }
    Ok(text)
}

fn names(rows: &[Row]) -> Vec<&str> {
    let mut names: Vec<&str> = Vec::new();
    for row in rows.iter().filter(|row| row.variant != ORACLE) {
        if !names.contains(&row.variant.as_str()) {
            names.push(&row.variant);
        }
    }
    names
}
