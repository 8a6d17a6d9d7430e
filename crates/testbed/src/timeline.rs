//! Draws the timeline of a run: request rate and answers, requests in flight at endpoints, and the states of the endpoints.

use crate::report::{Report, Sample};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;

/// Width and height of the picture, in pixels.
const SIZE: (u32, u32) = (1000, 760);

type Curve = (&'static str, RGBColor, fn(&Sample) -> f64);

/// The timeline of a report as an SVG picture.
///
/// # Errors
/// Drawing fails; for a picture in memory this means that a sample is not a finite number.
pub fn svg(report: &Report) -> Result<String, Box<dyn Error>> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let title = match &report.service {
            Some(service) => format!("{}, seed {}: service {:.3}", report.script, report.seed, service.whole),
            None => format!("{}, seed {}: no service figure", report.script, report.seed),
        };
        let area = area.titled(&title, ("sans-serif", 20))?;
        let parts = area.split_evenly((3, 1));
        let [load, in_flight, states] = &parts[..] else {
            return Err("the drawing area was not split into three parts".into());
        };
        let rates: [Curve; 4] = [
            ("client attempts a second", BLACK, |sample| sample.asked),
            ("answers in time", GREEN, |sample| sample.in_time),
            ("rejected", RGBColor(230, 140, 0), |sample| sample.refused),
            ("failed", RED, |sample| sample.failed),
        ];
        lines(load, &report.timeline, &rates)?;
        lines(
            in_flight,
            &report.timeline,
            &[("requests in flight at endpoints", BLUE, |sample| sample.in_flight as f64)],
        )?;
        stacked(states, &report.timeline)?;
        area.present()?;
    }
    Ok(text)
}

fn end_s(samples: &[Sample]) -> f64 {
    samples.last().map_or(1.0, |sample| sample.at_s.max(0.1))
}

fn lines(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    samples: &[Sample],
    curves: &[Curve],
) -> Result<(), Box<dyn Error>> {
    let most =
        samples.iter().flat_map(|sample| curves.iter().map(|(_, _, of)| of(sample))).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end_s(samples), 0.0..most * 1.1)?;
    chart.configure_mesh().light_line_style(TRANSPARENT).x_desc("s").draw()?;
    for (name, colour, of) in curves {
        let points = samples.iter().map(|sample| (sample.at_s, of(sample)));
        let (colour, of_legend) = (*colour, *colour);
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], of_legend));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}

/// Draws the number of endpoints in each state as stacked bands.
fn stacked(area: &DrawingArea<SVGBackend<'_>, Shift>, samples: &[Sample]) -> Result<(), Box<dyn Error>> {
    let bands: [Curve; 5] = [
        ("down", RGBColor(90, 90, 90), |sample| {
            (sample.down + sample.choked + sample.draining + sample.cold + sample.warm) as f64
        }),
        ("choked", RGBColor(200, 60, 60), |sample| {
            (sample.choked + sample.draining + sample.cold + sample.warm) as f64
        }),
        ("draining", RGBColor(240, 200, 80), |sample| (sample.draining + sample.cold + sample.warm) as f64),
        ("cold", RGBColor(110, 160, 230), |sample| (sample.cold + sample.warm) as f64),
        ("warm", RGBColor(120, 190, 120), |sample| sample.warm as f64),
    ];
    let most = samples.iter().map(bands[0].2).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end_s(samples), 0.0..most * 1.05)?;
    chart.configure_mesh().disable_mesh().x_desc("s").y_desc("nodes").draw()?;
    for (name, colour, of) in bands {
        let points = samples.iter().map(|sample| (sample.at_s, of(sample)));
        chart
            .draw_series(AreaSeries::new(points, 0.0, colour))?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 16, y + 4)], colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}
