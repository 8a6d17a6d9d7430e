//! Renders the text output of `fleet status`.

use super::json_fields::{elements, text_or_dash};
use serde_json::Value;
use std::fmt::Write;

/// Renders the answers of gateways: a table of versions, then for each gateway its view of the consensus group and of its peers.
pub(super) fn render_status(answers: &[Value]) -> String {
    let mut text = format!(
        "{:<12} {:<40} {:>10} {:>8} {:<16} build\n",
        "gateway", "session state", "list", "list lag", "configuration"
    );
    for answer in answers {
        write_version(&mut text, &answer["answer"]);
    }
    for answer in answers {
        let status = &answer["answer"];
        write_consensus_group(&mut text, status);
        write_peers(&mut text, status);
    }
    text
}

fn write_version(text: &mut String, status: &Value) {
    let list_index = status["version"]["list"]["index"].as_u64().unwrap_or_default();
    let current_index = status["current"].as_u64().unwrap_or_default();
    let _ = writeln!(
        text,
        "{:<12} {:<40} {:>10} {:>8} {:016x} {}",
        text_or_dash(&status["gateway"]),
        text_or_dash(&status["standing"]),
        list_index,
        current_index.saturating_sub(list_index),
        status["version"]["config"].as_u64().unwrap_or_default(),
        text_or_dash(&status["version"]["build"])
    );
}

fn write_consensus_group(text: &mut String, status: &Value) {
    let Some(group) = status["council"].as_array() else { return };
    let votes = if group[1] == true { "votes" } else { "has no vote" };
    let _ = writeln!(
        text,
        "{:<12} consensus group: configuration {}, {votes}, leader {}, log index {}",
        text_or_dash(&status["gateway"]),
        group[0],
        text_or_dash(&status["leader"]),
        status["position"]
    );
}

/// Writes one line for each peer whose state is neither reachable nor unknown.
fn write_peers(text: &mut String, status: &Value) {
    for member in elements(&status["members"]) {
        let peer = text_or_dash(&member[0]);
        let state = text_or_dash(&member[1]);
        if !matches!(state, "Here" | "Unknown") {
            let _ = writeln!(text, "{:<12} sees {peer}: {state}", text_or_dash(&status["gateway"]));
        }
    }
}
