//! Tests of which header texts and rows of figures are read as load reports.

use super::*;

fn fields(transport: &str, names: &str) -> LoadReportFields {
    LoadReportFields::parse(&format!(r#"{{"stats":{{"how":"{transport}","fields":[{names}]}}}}"#))
        .expect("the settings object parses")
}

#[test]
fn report_is_read_by_the_field_names_in_the_settings() {
    let report_fields = fields("inline", r#""throughput","outstanding""#);
    let report = LoadReport { requests_per_second: 27.5, in_flight: 7.0 };
    assert_eq!(report_fields.parse_header("TEXT outstanding=7, util=0.6, throughput=27.5"), Some(report));
    assert_eq!(report_fields.parse_row(&[27.5, 7.0]), Some(report));
    assert_eq!(report_fields.parse_header("TEXT qps=27.5, inflight=7"), None);
    assert_eq!(fields("none", r#""qps","inflight""#).parse_row(&[1.0, 1.0]), None);
    assert_eq!(fields("inline", r#""util""#).parse_row(&[1.0]), None);
}

#[test]
fn malformed_or_impossible_reports_are_not_read() {
    let report_fields = fields("answers", r#""qps","inflight""#);
    let malformed = [
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
    for text in malformed {
        assert_eq!(report_fields.parse_header(text), None, "{text:?}");
    }
    let too_long = format!("TEXT {}qps=1, inflight=2", "x=1, ".repeat(MAX_HEADER_BYTES));
    assert_eq!(report_fields.parse_header(&too_long), None);
    assert_eq!(report_fields.parse_row(&[1.0]), None);
    assert_eq!(report_fields.parse_row(&[f64::NAN, 1.0]), None);
}
