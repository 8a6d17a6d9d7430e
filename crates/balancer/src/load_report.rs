//! Load reports that endpoints send with their responses: parses reports by the field names in the settings and checks their values.

use crate::api::LoadReport;
use serde::Deserialize;

/// Longest header value that is parsed as a load report, in bytes.
const MAX_HEADER_BYTES: usize = 512;
/// Highest figure that is accepted in a load report, in requests or requests a second.
const MAX_LOAD_FIGURE: f64 = 1e6;
/// Prefix of a header value that contains a load report.
const HEADER_PREFIX: &str = "TEXT ";

/// Names and positions of the figures of a load report, from the settings (`stats.fields`).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReportFields {
    requests_per_second: Option<ReportField>,
    in_flight: Option<ReportField>,
}

/// The name and position of one figure of a load report.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReportField {
    /// The figure's index in a row of figures.
    index: usize,
    /// The figure's name in a header.
    name: String,
}

impl ReportField {
    /// The first of `fields` that has one of the names in `names`.
    fn find(fields: &[String], names: [&str; 2]) -> Option<ReportField> {
        let index = fields.iter().position(|field| names.contains(&field.as_str()))?;
        Some(ReportField { index, name: fields[index].clone() })
    }
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
    #[serde(rename = "how")]
    transport: String,
}

impl LoadReportFields {
    /// Reads the field names from the settings object, as JSON text.
    /// Settings whose responses carry no load report, or a report that lacks either figure, result in fields that match nothing.
    ///
    /// # Errors
    /// Returns an error if the text is not a settings object.
    pub fn parse(settings: &str) -> Result<LoadReportFields, serde_json::Error> {
        let RawSettings { stats } = serde_json::from_str(settings)?;
        if !matches!(stats.transport.as_str(), "inline" | "answers") {
            return Ok(LoadReportFields::default());
        }
        Ok(LoadReportFields {
            requests_per_second: ReportField::find(&stats.fields, ["qps", "throughput"]),
            in_flight: ReportField::find(&stats.fields, ["inflight", "outstanding"]),
        })
    }

    /// The load report in a row of figures; `None` if a figure is missing or is not a possible load.
    pub fn parse_row(&self, row: &[f64]) -> Option<LoadReport> {
        let figure = |field: &Option<ReportField>| row.get(field.as_ref()?.index).copied();
        let requests_per_second = figure(&self.requests_per_second)?;
        let in_flight = figure(&self.in_flight)?;
        LoadReport { requests_per_second, in_flight }.checked()
    }

    /// The load report in the text of a header, such as `TEXT qps=27.1, inflight=7`.
    /// `None` for text in another form, and if a figure is missing, repeated or not a possible load.
    pub fn parse_header(&self, text: &str) -> Option<LoadReport> {
        if text.len() > MAX_HEADER_BYTES {
            return None;
        }
        let pairs = text.trim().strip_prefix(HEADER_PREFIX)?;
        let mut requests_per_second = None;
        let mut in_flight = None;
        for pair in pairs.split(',') {
            let (name, value) = pair.split_once('=')?;
            let has_name =
                |field: &Option<ReportField>| field.as_ref().is_some_and(|field| field.name == name.trim());
            let figure = if has_name(&self.requests_per_second) {
                &mut requests_per_second
            } else if has_name(&self.in_flight) {
                &mut in_flight
            } else {
                continue;
            };
            if figure.replace(value.trim().parse().ok()?).is_some() {
                return None;
            }
        }
        LoadReport { requests_per_second: requests_per_second?, in_flight: in_flight? }.checked()
    }
}

impl LoadReport {
    /// The load report itself, if both figures are possible loads of an endpoint: from 0 to 1 million.
    pub fn checked(self) -> Option<LoadReport> {
        let is_load = |figure: f64| (0.0..=MAX_LOAD_FIGURE).contains(&figure);
        (is_load(self.requests_per_second) && is_load(self.in_flight)).then_some(self)
    }
}

#[cfg(test)]
mod tests;
