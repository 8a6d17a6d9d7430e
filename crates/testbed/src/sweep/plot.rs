//! A study as a picture: service against the number of gateways, a panel for each script, a line for each variant.

use super::run::ORACLE;
use super::table::Row;
use plotters::prelude::*;
use std::error::Error;

type Figure = (&'static str, fn(&Row) -> f64);

const PANEL: (u32, u32) = (420, 280);
const COLOURS: [RGBColor; 6] =
    [BLACK, BLUE, RED, RGBColor(0, 140, 70), RGBColor(230, 140, 0), RGBColor(130, 60, 160)];

/// The whole run on the left, the worst 10 s on the right; the bound is the thin grey line.
///
/// # Errors
/// Where the drawing fails, which for a picture in memory means that the figures are no numbers.
pub fn svg(rows: &[Row]) -> Result<String, Box<dyn Error>> {
    let mut scripts: Vec<&str> = rows.iter().map(|r| r.script.as_str()).collect();
    scripts.dedup();
    let mut text = String::new();
    {
        let size = (2 * PANEL.0, PANEL.1 * scripts.len().max(1) as u32);
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&WHITE)?;
        let panels = area.split_evenly((scripts.len().max(1), 2));
        for (n, script) in scripts.iter().enumerate() {
            let of_script: Vec<&Row> = rows.iter().filter(|r| r.script == *script).collect();
            let figures: [Figure; 2] = [("service", |r| r.whole.mean), ("worst 10 s", |r| r.worst_10s.mean)];
            for (side, (what, of)) in figures.into_iter().enumerate() {
                let sizes = || of_script.iter().map(|r| r.gateways as f64);
                let (from, to) = (sizes().fold(f64::INFINITY, f64::min), sizes().fold(2.0, f64::max));
                let from = from.min(to - 1.0).max(1.0);
                let least = of_script.iter().map(|r| of(r)).fold(1.0, f64::min);
                let mut chart = ChartBuilder::on(&panels[2 * n + side])
                    .caption(format!("{script}: {what}"), ("sans-serif", 15))
                    .margin(6)
                    .x_label_area_size(28)
                    .y_label_area_size(48)
                    .build_cartesian_2d((from..to).log_scale(), (least - 0.01)..1.0)?;
                chart.configure_mesh().light_line_style(TRANSPARENT).x_desc("gateways").draw()?;
                let mut variants: Vec<&str> = Vec::new();
                for row in &of_script {
                    if !variants.contains(&row.variant.as_str()) {
                        variants.push(&row.variant);
                    }
                }
                for variant in variants {
                    let of_variant = || of_script.iter().filter(|r| r.variant == variant);
                    // The bound is thin and grey, below the rest.
                    let place = names(rows).iter().position(|v| *v == variant);
                    let colour = place.map_or(RGBColor(150, 150, 150), |n| COLOURS[n % COLOURS.len()]);
                    let points: Vec<_> = of_variant().map(|r| (r.gateways as f64, of(r))).collect();
                    chart
                        .draw_series(LineSeries::new(
                            points.iter().copied(),
                            colour.stroke_width(1 + u32::from(place.is_some())),
                        ))?
                        .label(variant)
                        .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
                    chart.draw_series(points.iter().map(|p| Circle::new(*p, 3, colour.filled())))?;
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
    for row in rows.iter().filter(|r| r.variant != ORACLE) {
        if !names.contains(&row.variant.as_str()) {
            names.push(&row.variant);
        }
    }
    names
}
