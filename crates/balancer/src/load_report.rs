//! Load reports, as hosts word them beside their answers: which figures the settings name, and what counts as one.

use crate::api::LoadReport;
use serde::Deserialize;

/// The longest text that is looked at; what is beyond it was written by nobody who reports load.
const LONGEST: usize = 512;
/// A figure above this is no load of any host: a second holds no so many requests.
const MOST: f64 = 1e6;

/// The figures of a report, by the names and in the order that the settings give (`stats.fields`).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReportFields {
    qps: Option<(usize, String)>,
    inflight: Option<(usize, String)>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawSettings {
    stats: RawStats,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawStats {
    fields: Vec<String>,
    how: String,
}

impl LoadReportFields {
    /// Reads the names from the settings object, as JSON text. Settings whose answers carry no report, or one that
    /// lacks either figure, give fields that read nothing.
    ///
    /// # Errors
    /// Where the text is no settings object.
    pub fn parse(settings: &str) -> Result<LoadReportFields, serde_json::Error> {
        let RawSettings { stats } = serde_json::from_str(settings)?;
        if !matches!(stats.how.as_str(), "inline" | "answers") {
            return Ok(LoadReportFields::default());
        }
        let place = |names: [&str; 2]| {
            let mut fields = stats.fields.iter().enumerate();
            fields.find(|(_, f)| names.contains(&f.as_str())).map(|(at, f)| (at, f.clone()))
        };
        Ok(LoadReportFields {
            qps: place(["qps", "throughput"]),
            inflight: place(["inflight", "outstanding"]),
        })
    }

    /// The report in a row of figures.
    pub fn parse_row(&self, row: &[f64]) -> Option<LoadReport> {
        let figure = |field: &Option<(usize, String)>| row.get(field.as_ref()?.0).copied();
        LoadReport { requests_per_second: figure(&self.qps)?, in_flight: figure(&self.inflight)? }.checked()
    }

    /// The report in the text of a header: `TEXT qps=27.1, inflight=7`. None where it is not worded so, where a figure
    /// is missing or said twice, or where it is no load.
    pub fn parse_header(&self, text: &str) -> Option<LoadReport> {
        let list = text.trim().strip_prefix("TEXT ").filter(|_| text.len() <= LONGEST)?;
        let (mut qps, mut inflight) = (None, None);
        for pair in list.split(',') {
            let (name, value) = pair.split_once('=')?;
            let named = |field: &Option<(usize, String)>| field.as_ref().is_some_and(|f| f.1 == name.trim());
            let figure = if named(&self.qps) {
                &mut qps
            } else if named(&self.inflight) {
                &mut inflight
            } else {
                continue;
            };
            if figure.replace(value.trim().parse().ok()?).is_some() {
                return None;
            }
        }
        LoadReport { requests_per_second: qps?, in_flight: inflight? }.checked()
    }
}

impl LoadReport {
    /// The report, where both figures can be the load of a host.
    pub fn checked(self) -> Option<LoadReport> {
        let real = |x: f64| (0.0..=MOST).contains(&x);
        (real(self.requests_per_second) && real(self.in_flight)).then_some(self)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fields(how: &str, names: &str) -> LoadReportFields {
        LoadReportFields::parse(&format!(r#"{{"stats":{{"how":"{how}","fields":[{names}]}}}}"#))
            .expect("settings")
    }

    #[test]
    fn a_report_is_read_by_the_names_of_the_settings() {
        let f = fields("inline", r#""throughput","outstanding""#);
        let report = LoadReport { requests_per_second: 27.5, in_flight: 7.0 };
        assert_eq!(f.parse_header("TEXT outstanding=7, util=0.6, throughput=27.5"), Some(report));
        assert_eq!(f.parse_row(&[27.5, 7.0]), Some(report));
        assert_eq!(f.parse_header("TEXT qps=27.5, inflight=7"), None);
        assert_eq!(fields("none", r#""qps","inflight""#).parse_row(&[1.0, 1.0]), None);
        assert_eq!(fields("inline", r#""util""#).parse_row(&[1.0]), None);
    }

    #[test]
    fn what_is_no_load_is_no_report() {
        let f = fields("answers", r#""qps","inflight""#);
        let bad = [
            "",
            "TEXT",
            "JSON {}",
            "TEXT qps=1",
            "TEXT qps=-1, inflight=2",
            "TEXT qps=NaN, inflight=2",
            "TEXT qps=1e300, inflight=2",
            "TEXT qps=inf, inflight=2",
            "TEXT qps=1, inflight=",
            "TEXT qps=1, qps=2, inflight=1",
            "TEXT ,",
            "qps=1, inflight=2",
        ];
        for text in bad {
            assert_eq!(f.parse_header(text), None, "{text:?}");
        }
        let long = format!("TEXT {}qps=1, inflight=2", "x=1, ".repeat(LONGEST));
        assert_eq!(f.parse_header(&long), None);
        assert_eq!(f.parse_row(&[1.0]), None);
        assert_eq!(f.parse_row(&[f64::NAN, 1.0]), None);
    }
}
