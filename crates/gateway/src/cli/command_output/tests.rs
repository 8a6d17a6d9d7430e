//! What is said of a request where some gateways could not be asked.

use super::super::fleet_query::QueryError;
use super::super::request_report::render_request;
use super::*;

/// An administrator asks who met a request while one gateway cannot be reached. That nobody did may be said of those that answered
/// alone: the missing one may have served it.
#[test]
fn nobody_is_said_only_when_all_have_answered() {
    let answered = |gateway: &str, answer| GatewayAnswer { gateway: gateway.into(), answer };
    let nothing = || Ok(json!({"gateway": "g0", "answer": {"steps": []}}));
    let render = |answers: &[Value]| render_request("7", answers);
    let complete = render_answers(vec![answered("g0", nothing())], OutputFormat::Text, render);
    assert!(
        complete.completeness == Completeness::Complete
            && complete.text.contains("nobody")
            && !complete.text.contains("incomplete")
    );
    let refused = Err(QueryError::Rejected("refused".into()));
    let answers = vec![answered("g0", nothing()), answered("g1", refused)];
    let partial = render_answers(answers, OutputFormat::Text, render);
    assert!(
        partial.completeness == Completeness::Incomplete
            && partial.text.contains("g1")
            && partial.text.contains("incomplete")
    );
}
