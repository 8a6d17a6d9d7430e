//! Helpers to read the fields of gateways' JSON answers.

use serde_json::Value;

/// The text of a field, or a dash if the field is not text.
pub(super) fn text_or_dash(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

/// A JSON value as text. Unlike the value itself, the text can be padded to a width by a format string.
pub(super) fn padded(value: &Value) -> String {
    value.to_string()
}

/// The elements of a JSON list, or none if the value is not a list.
pub(super) fn elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// The reports of a gateway's earlier processes, from its answer to an audit query.
pub(super) fn earlier_processes(answer: &Value) -> impl Iterator<Item = &Value> {
    elements(&answer["earlier"]["processes"])
}
