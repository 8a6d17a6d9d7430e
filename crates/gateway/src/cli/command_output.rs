//! The output of a command that queries gateways. Gateways that did not answer are always named, so that a missing answer is never taken
//! for a report that nothing happened.

use super::fleet_query::GatewayAnswer;
use serde_json::{json, Value};
use std::fmt::Write;

/// The format of a command's output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutputFormat {
    Text,
    Json,
}

impl OutputFormat {
    pub(super) fn from_json_flag(json: bool) -> OutputFormat {
        if json {
            OutputFormat::Json
        } else {
            OutputFormat::Text
        }
    }
}

/// Whether a command did everything that was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Completeness {
    Complete,
    /// Some gateways did not answer, or a change was not committed.
    Incomplete,
}

/// The text that a command prints, and whether the command was complete.
pub(super) struct CommandOutput {
    pub(super) text: String,
    pub(super) completeness: Completeness,
}

/// A gateway that did not answer, with the reason.
struct Unanswered {
    gateway: String,
    reason: String,
}

/// Renders the answers of gateways as JSON, or as text with `render`, and names the gateways without an answer.
pub(super) fn render_answers(
    all: Vec<GatewayAnswer>,
    format: OutputFormat,
    render: impl Fn(&[Value]) -> String,
) -> CommandOutput {
    let mut answers = Vec::new();
    let mut unanswered = Vec::new();
    for GatewayAnswer { gateway, answer } in all {
        match answer {
            Ok(answer) => answers.push(answer),
            Err(error) => unanswered.push(Unanswered { gateway, reason: error.to_string() }),
        }
    }
    let completeness = if unanswered.is_empty() { Completeness::Complete } else { Completeness::Incomplete };
    let text = match format {
        OutputFormat::Json => render_json(&answers, &unanswered),
        OutputFormat::Text => render(&answers) + &unanswered_lines(&unanswered),
    };
    CommandOutput { text, completeness }
}

fn render_json(answers: &[Value], unanswered: &[Unanswered]) -> String {
    let not_asked: Vec<Value> = unanswered
        .iter()
        .map(|Unanswered { gateway, reason }| json!({ "gateway": gateway, "why": reason }))
        .collect();
    let output = json!({ "gateways": answers, "not_asked": not_asked, "complete": unanswered.is_empty() });
    format!("{output:#}\n")
}

fn unanswered_lines(unanswered: &[Unanswered]) -> String {
    let mut text = String::new();
    for Unanswered { gateway, reason } in unanswered {
        let _ = writeln!(text, "{gateway:<12} could not be asked: {reason}");
    }
    if !unanswered.is_empty() {
        let which = if unanswered.len() == 1 { "that gateway" } else { "those gateways" };
        let _ = writeln!(text, "incomplete: the activity of {which} is unknown");
    }
    text
}

#[cfg(test)]
mod tests;
