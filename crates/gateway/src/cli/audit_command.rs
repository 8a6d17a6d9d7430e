//! The subcommand `audit`: what the gateways of a fleet did under which version, or what they did with one request.

use super::arguments::AuditArguments;
use super::audit_report::render_audit;
use super::command_output::{render_answers, CommandOutput, OutputFormat};
use super::fleet_query::query_gateways;
use super::request_report::render_request;
use serde_json::Value;
use weldworks_fleet::protocol::AdminQuery;
use weldworks_fleet::settings::FleetSettings;

/// Keys of the lists in an answer whose entries have an end time.
const TIMED_LISTS: [&str; 3] = ["unknown", "intervals", "exceptions"];

/// Executes the subcommand `audit`.
pub(super) async fn execute(
    settings: &FleetSettings,
    arguments: &AuditArguments,
    format: OutputFormat,
) -> CommandOutput {
    if let Some(request_id) = &arguments.request {
        let query = AdminQuery::Request { request_id: request_id.clone() };
        let answers = query_gateways(settings, &query).await;
        return render_answers(answers, format, |answers| render_request(request_id, answers));
    }
    let query = AdminQuery::Audit { from_index: arguments.from_list, to_index: arguments.to_list };
    let mut answers = query_gateways(settings, &query).await;
    if let Some(after_unix_ms) = arguments.after {
        for answer in answers.iter_mut().filter_map(|gateway| gateway.answer.as_mut().ok()) {
            retain_after(answer, after_unix_ms);
        }
    }
    render_answers(answers, format, render_audit)
}

/// Removes the entries of a gateway's current and earlier processes that ended before `after_unix_ms`, and processes without entries.
fn retain_after(answer: &mut Value, after_unix_ms: u64) {
    let began_unix_ms = answer["began_unix_ms"].as_u64().unwrap_or_default();
    let report = &mut answer["answer"];
    retain_entries_after(report, began_unix_ms, after_unix_ms);
    let Some(processes) = report["earlier"]["processes"].as_array_mut() else { return };
    for process in processes.iter_mut() {
        let began_unix_ms = process["began_unix_ms"].as_u64().unwrap_or_default();
        retain_entries_after(process, began_unix_ms, after_unix_ms);
    }
    processes.retain(|process| {
        TIMED_LISTS.iter().any(|list| process[list].as_array().is_some_and(|entries| !entries.is_empty()))
    });
}

/// Removes the entries of one process that ended before `after_unix_ms`. An entry without an end time has not ended and is retained.
fn retain_entries_after(report: &mut Value, began_unix_ms: u64, after_unix_ms: u64) {
    for list in TIMED_LISTS {
        if let Some(entries) = report[list].as_array_mut() {
            entries.retain(|entry| {
                entry["to_ms"].as_u64().is_none_or(|to_ms| began_unix_ms + to_ms >= after_unix_ms)
            });
        }
    }
}

#[cfg(test)]
mod tests;
