//! A run as a picture: load and answers, what nodes hold, and the states of the nodes, over time.

use crate::report::{Report, Sample};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;

const SIZE: (u32, u32) = (1000, 760);

type Curve = (&'static str, RGBColor, fn(&Sample) -> f64);

/// The report's timeline as SVG.
///
/// # Errors
/// Where the drawing fails, which for a picture in memory means that the samples are no numbers.
pub fn svg(report: &Report) -> Result<String, Box<dyn Error>> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let title = match &report.service {
            Some(service) => format!("{}, seed {}: service {:.3}", report.script, report.seed, service.whole),
            None => format!("{}, seed {}: no figure", report.script, report.seed),
        };
        let area = area.titled(&title, ("sans-serif", 20))?;
        let parts = area.split_evenly((3, 1));
        let [load, held, states] = &parts[..] else { return Err("three parts were asked for".into()) };
        let rates: [Curve; 4] = [
            ("tries a second", BLACK, |s| s.asked),
            ("answers in time", GREEN, |s| s.in_time),
            ("refused", RGBColor(230, 140, 0), |s| s.refused),
            ("failed", RED, |s| s.failed),
        ];
        lines(load, &report.timeline, &rates)?;
        lines(held, &report.timeline, &[("requests held by nodes", BLUE, |s| s.held as f64)])?;
        stacked(states, &report.timeline)?;
        area.present()?;
    }
    Ok(text)
}

fn end(samples: &[Sample]) -> f64 {
    samples.last().map_or(1.0, |s| s.at_s.max(0.1))
}

fn lines(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    samples: &[Sample],
    curves: &[Curve],
) -> Result<(), Box<dyn Error>> {
    let most = samples.iter().flat_map(|s| curves.iter().map(|(_, _, of)| of(s))).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end(samples), 0.0..most * 1.1)?;
    chart.configure_mesh().light_line_style(TRANSPARENT).x_desc("s").draw()?;
    for (name, colour, of) in curves {
        let points = samples.iter().map(|s| (s.at_s, of(s)));
        let (colour, of_legend) = (*colour, *colour);
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], of_legend));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}

/// The nodes by state, one band upon the other.
fn stacked(area: &DrawingArea<SVGBackend<'_>, Shift>, samples: &[Sample]) -> Result<(), Box<dyn Error>> {
    let bands: [Curve; 5] = [
        ("down", RGBColor(90, 90, 90), |s| (s.down + s.choked + s.draining + s.cold + s.warm) as f64),
        ("choked", RGBColor(200, 60, 60), |s| (s.choked + s.draining + s.cold + s.warm) as f64),
        ("draining", RGBColor(240, 200, 80), |s| (s.draining + s.cold + s.warm) as f64),
        ("cold", RGBColor(110, 160, 230), |s| (s.cold + s.warm) as f64),
        ("warm", RGBColor(120, 190, 120), |s| s.warm as f64),
    ];
    let most = samples.iter().map(bands[0].2).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end(samples), 0.0..most * 1.05)?;
    chart.configure_mesh().disable_mesh().x_desc("s").y_desc("nodes").draw()?;
    for (name, colour, of) in bands {
        let points = samples.iter().map(|s| (s.at_s, of(s)));
        chart
            .draw_series(AreaSeries::new(points, 0.0, colour))?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 16, y + 4)], colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}
