//! Tests of the output for a request when some gateways did not answer.

use super::super::fleet_query::QueryError;
use super::super::request_report::render_request;
use super::*;

/// An administrator queries a request while one gateway cannot be reached. That gateway may have served the request, so the output must
/// name the gateway and be marked as incomplete; only when all gateways answered may the output say without that mark that none of them
/// has seen the request.
#[test]
fn output_is_incomplete_only_when_a_gateway_did_not_answer() {
    let answered = |gateway: &str, answer| GatewayAnswer { gateway: gateway.into(), answer };
    let nothing = || Ok(json!({"gateway": "g0", "answer": {"steps": []}}));
    let render = |answers: &[Value]| render_request("7", answers);
    let complete = render_answers(vec![answered("g0", nothing())], OutputFormat::Text, render);
    assert!(
        complete.completeness == Completeness::Complete
            && complete.text.contains("no gateway that answered has seen")
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
