//! The results of a study: a row for each script, number of gateways and variant, with variants compared seed by seed.

use super::run::{names, Run, ORACLE};
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::fmt::Write as _;

/// A mean with the half width of its 95 % confidence interval by Student's t distribution.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Mean {
    /// Mean of the values.
    pub mean: f64,
    /// Half width of the confidence interval; `None` for fewer than two values.
    pub within: Option<f64>,
}

impl Mean {
    /// The mean of these values; 0 without values.
    pub fn of(values: &[f64]) -> Mean {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        let within = t_quantile(values.len()).map(|quantile| {
            let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
            quantile * (squares / (count - 1.0) / count).sqrt()
        });
        Mean { mean, within }
    }
}

fn t_quantile(count: usize) -> Option<f64> {
    let distribution =
        StudentsT::new(0.0, 1.0, count.checked_sub(1).filter(|degrees| *degrees > 0)? as f64).ok()?;
    Some(distribution.inverse_cdf(0.975))
}

/// A row: the figures of one script, number of gateways and variant, over all seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Name of the script.
    pub script: String,
    /// Number of gateways.
    pub gateways: usize,
    /// Name of the variant.
    pub variant: String,
    /// Number of seeds.
    pub seeds: usize,
    /// Service of the whole run.
    pub whole: Mean,
    /// Lowest service of the whole run among the seeds.
    pub least: f64,
    /// Service of the worst 10 s.
    pub worst_10s: Mean,
    /// Rejected client attempts, as a fraction of first attempts.
    pub refused: f64,
    /// How evenly attempts arrived at endpoints, as the mean of the runs: 1 for independent arrivals.
    pub dispersion: Option<f64>,
    /// Seconds from the last end of an event until service had recovered to 0.95, as the mean of the runs in which it did.
    pub back_s: Option<f64>,
    /// Number of runs in which service recovered.
    pub back_in: usize,
    /// Service of the worst tenant, counting only requests within its share.
    pub worst_tenant: f64,
    /// Service at gateways that started late, in their first 10 s.
    pub fresh: Option<Mean>,
    /// Difference between the service at the other gateways and that at the gateways that started late, in the same 10 s of a run.
    pub behind: Option<Mean>,
    /// Endpoints that fell over, in all runs together.
    pub fallen: u64,
    /// Violations of rules, in all runs together.
    #[serde(rename = "breaches")]
    pub violations: usize,
    /// Time in the balancer, in microseconds for each request.
    pub decision_us: Option<f64>,
    /// Difference in the service of the whole run to the first variant, compared seed by seed.
    pub difference: Option<Mean>,
    /// Number of seeds at which the confidence interval is narrow enough to show a difference of one point (0.01).
    pub seeds_for_a_point: Option<u64>,
}

/// The rows of these runs, in the order of the runs. The first variant is the baseline of the others.
pub fn rows(runs: &[Run]) -> Vec<Row> {
    let mut rows = Vec::new();
    for script in names(runs, |run| &run.script) {
        let of_script: Vec<&Run> = runs.iter().filter(|run| run.script == script).collect();
        let mut sizes: Vec<usize> = of_script.iter().map(|run| run.gateways).collect();
        sizes.sort_unstable();
        sizes.dedup();
        let first = of_script.iter().find(|run| run.variant != ORACLE).map(|run| run.variant.as_str());
        for gateways in sizes {
            let cell = |variant: &str| -> Vec<&Run> {
                let same = |run: &&&Run| run.gateways == gateways && run.variant == variant;
                of_script.iter().filter(same).copied().collect()
            };
            let base = first.map(cell).unwrap_or_default();
            for variant in names(runs, |run| &run.variant) {
                let runs = cell(variant);
                if !runs.is_empty() {
                    let base = (Some(variant) != first && variant != ORACLE).then_some(base.as_slice());
                    rows.push(row(&runs, base));
                }
            }
        }
    }
    rows
}

fn row(runs: &[&Run], base: Option<&[&Run]>) -> Row {
    let of = |figure: fn(&Run) -> f64| runs.iter().map(|run| figure(run)).collect::<Vec<f64>>();
    let pairs: Option<Vec<f64>> = base.map(|base| {
        let pair = |run: &&Run| {
            base.iter().find(|other| other.seed == run.seed).map(|other| run.whole - other.whole)
        };
        runs.iter().filter_map(pair).collect()
    });
    let difference = pairs.filter(|pairs| !pairs.is_empty()).map(|pairs| Mean::of(&pairs));
    let half_width = difference.and_then(|difference| difference.within);
    let back: Vec<f64> = runs.iter().filter_map(|run| run.back_s).collect();
    let all = |of: fn(&Run) -> Option<f64>| {
        let values: Option<Vec<f64>> = runs.iter().map(|run| of(run)).collect();
        values.map(|values| Mean::of(&values))
    };
    Row {
        script: runs[0].script.clone(),
        gateways: runs[0].gateways,
        variant: runs[0].variant.clone(),
        seeds: runs.len(),
        whole: Mean::of(&of(|run| run.whole)),
        least: of(|run| run.whole).into_iter().fold(f64::INFINITY, f64::min),
        worst_10s: Mean::of(&of(|run| run.worst_10s)),
        refused: Mean::of(&of(|run| run.refused)).mean,
        fallen: runs.iter().map(|run| run.fallen).sum(),
        violations: runs.iter().map(|run| run.violations).sum(),
        dispersion: all(|run| run.dispersion).map(|mean| mean.mean),
        back_s: Some(&back).filter(|values| !values.is_empty()).map(|values| Mean::of(values).mean),
        back_in: back.len(),
        worst_tenant: Mean::of(&of(|run| run.worst_tenant)).mean,
        fresh: all(|run| run.fresh),
        behind: all(|run| run.others.zip(run.fresh).map(|(others, fresh)| others - fresh)),
        decision_us: all(|run| run.decision_us).map(|mean| mean.mean),
        difference,
        // The width of the interval is inversely proportional to the square root of the number of seeds.
        seeds_for_a_point: half_width
            .map(|half_width| ((half_width / 0.01).powi(2) * runs.len() as f64).ceil().max(2.0) as u64),
    }
}

/// The rows as a text table for people.
pub fn text(rows: &[Row]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<20} {:>8} {:<12} {:>5} {:>16} {:>7} {:>7} {:>8} {:>6} {:>9} {:>6} {:>6} {:>6} {:>6}  {:<18} {:>5}",
        "script",
        "gateways",
        "variant",
        "seeds",
        "service",
        "least",
        "10 s",
        "rejected",
        "tenant",
        "back s",
        "spread",
        "fallen",
        "broken",
        "us",
        "vs the first",
        "1 pt"
    );
    let half_width = |mean: &Mean| mean.within.map_or(String::new(), |within| format!(" ±{within:.4}"));
    for row in rows {
        let difference = row.difference.map_or(String::new(), |difference| {
            format!("{:+.4}{}", difference.mean, half_width(&difference))
        });
        let _ = writeln!(
            text,
            "{:<20} {:>8} {:<12} {:>5} {:>16} {:>7.4} {:>7.4} {:>7.1}% {:>6.4} {:>9} {:>6} {:>6} {:>6} {:>6}  {:<18} {:>5}",
            row.script,
            row.gateways,
            row.variant,
            row.seeds,
            format!("{:.4}{}", row.whole.mean, half_width(&row.whole)),
            row.least,
            row.worst_10s.mean,
            100.0 * row.refused,
            row.worst_tenant,
            match (row.back_s, row.back_in) {
                (None, _) => String::new(),
                (Some(back_s), runs) if runs == row.seeds => format!("{back_s:.1}"),
                (Some(back_s), runs) => format!("{back_s:.1} ({runs})"),
            },
            row.dispersion.map_or(String::new(), |dispersion| format!("{dispersion:.2}")),
            row.fallen,
            row.violations,
            row.decision_us.map_or(String::new(), |us| format!("{us:.1}")),
            difference,
            row.seeds_for_a_point.map_or(String::new(), |seeds| seeds.to_string()),
        );
    }
    for (row, fresh, behind) in rows.iter().filter_map(|row| Some((row, row.fresh?, row.behind?))) {
        let _ = writeln!(
            text,
            "{} {} {}: late gateways {:.4}{} in their first 10 s, below the others by {:+.4}{}",
            row.script,
            row.gateways,
            row.variant,
            fresh.mean,
            half_width(&fresh),
            behind.mean,
            half_width(&behind)
        );
    }
    text
}

/// The runs as CSV, one line for each run.
///
/// # Errors
/// Writing fails, which does not happen in memory.
pub fn csv(runs: &[Run]) -> Result<String, csv::Error> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for run in runs {
        writer.serialize(run)?;
    }
    let bytes = writer.into_inner().map_err(|error| csv::Error::from(error.into_error()))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run(gateways: usize, variant: &str, seed: u64, whole: f64) -> Run {
        Run {
            script: "calm".into(),
            gateways,
            variant: variant.into(),
            seed,
            whole,
            worst_10s: whole,
            worst_class: whole,
            refused: 0.1,
            attempts: 1.0,
            dispersion: None,
            back_s: None,
            worst_tenant: whole,
            fresh: None,
            others: None,
            fallen: 1,
            violations: 0,
            decision_us: None,
        }
    }

    #[test]
    fn variants_are_compared_by_seed_with_students_confidence_interval() {
        let mut runs = vec![run(1, ORACLE, 1, 1.0)];
        let values = [(1, 0.90, 0.92), (2, 0.80, 0.81), (3, 0.70, 0.73)];
        runs.extend(values.iter().map(|values| run(45, "off", values.0, values.1)));
        runs.extend(values.iter().rev().map(|values| run(45, "on", values.0, values.2)));
        let rows = rows(&runs);
        let order: Vec<_> = rows.iter().map(|row| (row.gateways, row.variant.as_str())).collect();
        assert_eq!(order, [(1, ORACLE), (45, "off"), (45, "on")]);
        assert_eq!((rows[0].difference, rows[1].difference), (None, None));
        let difference = rows[2].difference.expect("no seed was run with both variants");
        assert!((difference.mean - 0.02).abs() < 1e-12, "{difference:?}");
        // With t(2, 0.975) = 4.3027 and a standard deviation of 0.01, the half width is 4.3027 x 0.01 / sqrt 3.
        assert!(
            (difference.within.expect("three seeds gave no interval") - 0.024841).abs() < 1e-5,
            "{difference:?}"
        );
        assert_eq!(rows[2].seeds_for_a_point, Some(19));
        assert_eq!((rows[2].fallen, rows[2].least), (3, 0.73));
        assert_eq!(csv(&runs).expect("CSV was not written").lines().count(), 8);
        assert!(text(&rows).contains("+0.0200 ±0.0248"));
    }

    #[test]
    fn a_single_value_has_no_confidence_interval() {
        assert_eq!(Mean::of(&[0.5]), Mean { mean: 0.5, within: None });
        assert_eq!(Mean::of(&[]).mean, 0.0);
    }
}
