//! Renders the text output of `audit`.

use super::json_fields::{earlier_processes, elements, padded, text_or_dash};
use serde_json::Value;
use std::fmt::Write;

/// Renders the answers of gateways as text: for each gateway first its earlier processes, then the current one.
pub(super) fn render_audit(answers: &[Value]) -> String {
    let mut text = String::new();
    for answer in answers {
        let gateway = text_or_dash(&answer["gateway"]);
        let report = &answer["answer"];
        for process in earlier_processes(report) {
            let _ = writeln!(
                text,
                "{gateway} (process {}, started at {} Unix ms by its wall clock): on disk from {} to {} ms",
                text_or_dash(&process["process"]),
                process["began_unix_ms"],
                process["since_ms"],
                process["until_ms"]
            );
            write_entries(&mut text, process);
        }
        write_unreported(&mut text, gateway, report);
        let _ = writeln!(
            text,
            "{gateway} (process {}): audit log since {} ms, {} intervals and {} exceptions evicted",
            text_or_dash(&answer["process"]),
            report["since_ms"],
            report["forgotten"],
            report["exceptions_forgotten"]
        );
        write_entries(&mut text, report);
    }
    text
}

/// Writes which part of a gateway's history is not reported, and why.
pub(super) fn write_unreported(text: &mut String, gateway: &str, report: &Value) {
    if let Some(reason) = report["earlier_unread"].as_str() {
        let _ = writeln!(text, "{gateway}: the activity of its earlier processes is unknown: {reason}");
    }
    if let Some(more) = report["earlier"]["more"].as_u64().filter(|more| *more > 0) {
        let _ = writeln!(text, "{gateway}: {more} earlier entries are not shown: query fewer lists");
    }
}

/// Writes the unknown time spans, the intervals and the exceptions of one process.
fn write_entries(text: &mut String, report: &Value) {
    for gap in elements(&report["unknown"]) {
        let scope =
            if text_or_dash(&gap["what"]) == "Requests" { "individual requests" } else { "all activity" };
        let _ = writeln!(
            text,
            "  {:>9} to {:>9} ms  unknown: {scope}",
            padded(&gap["from_ms"]),
            padded(&gap["to_ms"])
        );
    }
    for interval in elements(&report["intervals"]) {
        write_interval(text, interval);
    }
    for exception in elements(&report["exceptions"]) {
        let _ = writeln!(
            text,
            "  {:>9} to {:>9} ms  exception: {}, {} times, first request {}",
            padded(&exception["from_ms"]),
            padded(&exception["to_ms"]),
            exception["what"],
            exception["count"],
            text_or_dash(&exception["first"])
        );
    }
}

fn write_interval(text: &mut String, interval: &Value) {
    let decisions: Vec<String> = elements(&interval["decisions"])
        .map(|decision| {
            let kind = text_or_dash(&decision[0]).to_lowercase();
            format!("{} {kind} of class {}", decision[2], decision[1])
        })
        .collect();
    let decisions = if decisions.is_empty() { "nothing".to_owned() } else { decisions.join(", ") };
    let end = interval["to_ms"].as_u64().map_or("now".to_owned(), |to_ms| to_ms.to_string());
    let version = &interval["version"];
    let _ = writeln!(
        text,
        "  {:>9} to {end:>9} ms  list {} of {}, configuration {:016x} ({}), log index {} to {}: {decisions}",
        padded(&interval["from_ms"]),
        version["list"]["index"],
        text_or_dash(&version["list"]["lineage"]),
        version["config"].as_u64().unwrap_or_default(),
        version["generation"],
        interval["register"][0],
        interval["register"][1],
    );
}
