//! Reads the fields of gateways' answers.

use serde_json::Value;

/// A text field, or a dash.
pub(super) fn text_or_dash(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

/// A value as text, which can be padded to a width.
pub(super) fn padded(value: &Value) -> String {
    value.to_string()
}

/// The elements of a list, or none where it is not one.
pub(super) fn elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// What earlier processes of a gateway did, from its answer to an audit query.
pub(super) fn earlier_processes(answer: &Value) -> impl Iterator<Item = &Value> {
    elements(&answer["earlier"]["processes"])
}
