//! Renders the text output of `audit --request`.

use super::audit_report::write_unreported;
use super::json_fields::{earlier_processes, elements, padded, text_or_dash};
use serde_json::Value;
use std::fmt::Write;

/// Renders the steps of a request at each gateway, and the time spans for which the steps are unknown.
pub(super) fn render_request(request_id: &str, answers: &[Value]) -> String {
    let mut text = String::new();
    let mut is_known = false;
    for answer in answers {
        let gateway = text_or_dash(&answer["gateway"]);
        let report = &answer["answer"];
        for process in earlier_processes(report) {
            let suffix = format!(" (process {})", text_or_dash(&process["process"]));
            is_known |= write_steps(&mut text, gateway, process, &suffix);
        }
        is_known |= write_steps(&mut text, gateway, report, "");
        for process in earlier_processes(report) {
            write_unknown_times(&mut text, gateway, process);
        }
        write_unreported(&mut text, gateway, report);
    }
    if !is_known {
        let _ = writeln!(
            text,
            "no gateway that answered has seen request {request_id:?} in the time that its audit log covers"
        );
    }
    text
}

/// Writes the steps of the request in one process, and returns whether there are any.
fn write_steps(text: &mut String, gateway: &str, report: &Value, suffix: &str) -> bool {
    let mut has_steps = false;
    for step in elements(&report["steps"]) {
        has_steps = true;
        let _ = writeln!(
            text,
            "{gateway:<12} {:>9} ms  {} {} under list {}{suffix}",
            padded(&step["at_ms"]),
            text_or_dash(&step["kind"]).to_lowercase(),
            text_or_dash(&step["host"]),
            step["version"]["list"]["index"]
        );
    }
    has_steps
}

fn write_unknown_times(text: &mut String, gateway: &str, process: &Value) {
    for gap in elements(&process["unknown"]) {
        let _ = writeln!(
            text,
            "{gateway:<12} {:>9} to {:>9} ms  unknown (process {})",
            padded(&gap["from_ms"]),
            padded(&gap["to_ms"]),
            text_or_dash(&process["process"])
        );
    }
}
