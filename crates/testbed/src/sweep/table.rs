//! What a study has shown: a row for each script, number of gateways and variant, with pairs by seed.

use super::run::{names, Run, ORACLE};
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::fmt::Write as _;

/// A mean and the half width of its 95 % interval (Student's t); none of a single value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// The half width.
    pub within: Option<f64>,
}

impl Mean {
    /// Of some values; 0 of none.
    pub fn of(values: &[f64]) -> Mean {
        let n = values.len() as f64;
        let mean = values.iter().sum::<f64>() / n.max(1.0);
        let within = quantile(values.len()).map(|t| {
            let squares: f64 = values.iter().map(|v| (v - mean).powi(2)).sum();
            t * (squares / (n - 1.0) / n).sqrt()
        });
        Mean { mean, within }
    }
}

fn quantile(n: usize) -> Option<f64> {
    let t = StudentsT::new(0.0, 1.0, n.checked_sub(1).filter(|f| *f > 0)? as f64).ok()?;
    Some(t.inverse_cdf(0.975))
}

/// A row.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The script's name.
    pub script: String,
    /// How many gateways.
    pub gateways: usize,
    /// The variant's name.
    pub variant: String,
    /// How many seeds.
    pub seeds: usize,
    /// The service of the whole run.
    pub whole: Mean,
    /// The least of the seeds.
    pub least: f64,
    /// The service of the worst 10 s.
    pub worst_10s: Mean,
    /// Refused tries, as a share of first tries.
    pub refused: f64,
    /// How evenly attempts came to nodes, in the mean: 1 is chance alone.
    pub dispersion: Option<f64>,
    /// So many seconds after the last event service was back at 0.95 for good, in the mean of the runs in which it was.
    pub back_s: Option<f64>,
    /// In so many runs it was back.
    pub back_in: usize,
    /// The service of the worst tenant, within its share.
    pub worst_tenant: f64,
    /// The service at gateways that started late, in their first 10 s.
    pub fresh: Option<Mean>,
    /// That at the others in that time, less theirs, pair by pair.
    pub behind: Option<Mean>,
    /// Nodes that fell over, in all runs together.
    pub fallen: u64,
    /// Rules broken, in all runs together.
    pub breaches: usize,
    /// Decisions, in microseconds a request.
    pub decision_us: Option<f64>,
    /// The service of the whole run less that of the first variant, pair by pair.
    pub difference: Option<Mean>,
    /// So many seeds a difference of one point (0.01) takes to stand outside its interval.
    pub seeds_for_a_point: Option<u64>,
}

/// The rows of some runs, in their order. The first variant is what the others are held against.
pub fn rows(runs: &[Run]) -> Vec<Row> {
    let mut rows = Vec::new();
    for script in names(runs, |r| &r.script) {
        let of_script: Vec<&Run> = runs.iter().filter(|r| r.script == script).collect();
        let mut sizes: Vec<usize> = of_script.iter().map(|r| r.gateways).collect();
        sizes.sort_unstable();
        sizes.dedup();
        let first = of_script.iter().find(|r| r.variant != ORACLE).map(|r| r.variant.as_str());
        for gateways in sizes {
            let cell = |variant: &str| -> Vec<&Run> {
                let same = |r: &&&Run| r.gateways == gateways && r.variant == variant;
                of_script.iter().filter(same).copied().collect()
            };
            let base = first.map(cell).unwrap_or_default();
            for variant in names(runs, |r| &r.variant) {
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
    let of = |figure: fn(&Run) -> f64| runs.iter().map(|r| figure(r)).collect::<Vec<f64>>();
    let pairs: Option<Vec<f64>> = base.map(|base| {
        let pair = |r: &&Run| base.iter().find(|b| b.seed == r.seed).map(|b| r.whole - b.whole);
        runs.iter().filter_map(pair).collect()
    });
    let difference = pairs.filter(|p| !p.is_empty()).map(|p| Mean::of(&p));
    let half = difference.and_then(|d| d.within);
    let back: Vec<f64> = runs.iter().filter_map(|r| r.back_s).collect();
    let all = |of: fn(&Run) -> Option<f64>| {
        let values: Option<Vec<f64>> = runs.iter().map(|r| of(r)).collect();
        values.map(|v| Mean::of(&v))
    };
    Row {
        script: runs[0].script.clone(),
        gateways: runs[0].gateways,
        variant: runs[0].variant.clone(),
        seeds: runs.len(),
        whole: Mean::of(&of(|r| r.whole)),
        least: of(|r| r.whole).into_iter().fold(f64::INFINITY, f64::min),
        worst_10s: Mean::of(&of(|r| r.worst_10s)),
        refused: Mean::of(&of(|r| r.refused)).mean,
        fallen: runs.iter().map(|r| r.fallen).sum(),
        breaches: runs.iter().map(|r| r.breaches).sum(),
        dispersion: all(|r| r.dispersion).map(|m| m.mean),
        back_s: Some(&back).filter(|b| !b.is_empty()).map(|b| Mean::of(b).mean),
        back_in: back.len(),
        worst_tenant: Mean::of(&of(|r| r.worst_tenant)).mean,
        fresh: all(|r| r.fresh),
        behind: all(|r| r.others.zip(r.fresh).map(|(others, fresh)| others - fresh)),
        decision_us: all(|r| r.decision_us).map(|m| m.mean),
        difference,
        // The interval narrows with the root of the number of seeds.
        seeds_for_a_point: half.map(|h| ((h / 0.01).powi(2) * runs.len() as f64).ceil().max(2.0) as u64),
    }
}

/// The rows for a person.
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
        "refused",
        "tenant",
        "back s",
        "spread",
        "fallen",
        "broken",
        "us",
        "less the first",
        "1 pt"
    );
    let spread = |m: &Mean| m.within.map_or(String::new(), |w| format!(" ±{w:.4}"));
    for row in rows {
        let difference = row.difference.map_or(String::new(), |d| format!("{:+.4}{}", d.mean, spread(&d)));
        let _ = writeln!(
            text,
            "{:<20} {:>8} {:<12} {:>5} {:>16} {:>7.4} {:>7.4} {:>7.1}% {:>6.4} {:>9} {:>6} {:>6} {:>6} {:>6}  {:<18} {:>5}",
            row.script,
            row.gateways,
            row.variant,
            row.seeds,
            format!("{:.4}{}", row.whole.mean, spread(&row.whole)),
            row.least,
            row.worst_10s.mean,
            100.0 * row.refused,
            row.worst_tenant,
            match (row.back_s, row.back_in) {
                (None, _) => String::new(),
                (Some(s), n) if n == row.seeds => format!("{s:.1}"),
                (Some(s), n) => format!("{s:.1} ({n})"),
            },
            row.dispersion.map_or(String::new(), |d| format!("{d:.2}")),
            row.fallen,
            row.breaches,
            row.decision_us.map_or(String::new(), |us| format!("{us:.1}")),
            difference,
            row.seeds_for_a_point.map_or(String::new(), |n| n.to_string()),
        );
    }
    for (row, fresh, behind) in rows.iter().filter_map(|r| Some((r, r.fresh?, r.behind?))) {
        let _ = writeln!(
            text,
            "{} {} {}: fresh gateways {:.4}{} in their first 10 s, behind the others by {:+.4}{}",
            row.script,
            row.gateways,
            row.variant,
            fresh.mean,
            spread(&fresh),
            behind.mean,
            spread(&behind)
        );
    }
    text
}

/// Each run on a line, for a spreadsheet.
///
/// # Errors
/// Where the writing fails, which in memory it does not.
pub fn csv(runs: &[Run]) -> Result<String, csv::Error> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for run in runs {
        writer.serialize(run)?;
    }
    let bytes = writer.into_inner().map_err(|e| csv::Error::from(e.into_error()))?;
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
            breaches: 0,
            decision_us: None,
        }
    }

    #[test]
    fn pairs_are_by_seed_and_the_interval_is_students() {
        let mut runs = vec![run(1, ORACLE, 1, 1.0)];
        let values = [(1, 0.90, 0.92), (2, 0.80, 0.81), (3, 0.70, 0.73)];
        runs.extend(values.iter().map(|v| run(45, "off", v.0, v.1)));
        runs.extend(values.iter().rev().map(|v| run(45, "on", v.0, v.2)));
        let rows = rows(&runs);
        let order: Vec<_> = rows.iter().map(|r| (r.gateways, r.variant.as_str())).collect();
        assert_eq!(order, [(1, ORACLE), (45, "off"), (45, "on")]);
        assert_eq!((rows[0].difference, rows[1].difference), (None, None));
        let d = rows[2].difference.expect("pairs");
        assert!((d.mean - 0.02).abs() < 1e-12, "{d:?}");
        // t(2, 0.975) = 4.3027, the deviation 0.01: 4.3027 x 0.01 / sqrt 3.
        assert!((d.within.expect("three pairs") - 0.024841).abs() < 1e-5, "{d:?}");
        assert_eq!(rows[2].seeds_for_a_point, Some(19));
        assert_eq!((rows[2].fallen, rows[2].least), (3, 0.73));
        assert_eq!(csv(&runs).expect("rows").lines().count(), 8);
        assert!(text(&rows).contains("+0.0200 ±0.0248"));
    }

    #[test]
    fn one_seed_has_no_interval() {
        assert_eq!(Mean::of(&[0.5]), Mean { mean: 0.5, within: None });
        assert_eq!(Mean::of(&[]).mean, 0.0);
    }
}
