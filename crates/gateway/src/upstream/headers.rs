//! Headers of requests to endpoints and of their responses.

use crate::body::{ForwardedRequest, RequestBody, RequestPayload};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::Request;
use tokio::time::Instant;
use weldworks_balancer::load_report::LoadReportFields;
use weldworks_balancer::LoadReport;

/// The response header that carries the endpoint's load report.
const LOAD_REPORT_HEADER: &str = "x-server-load";

/// The response header by which an endpoint states that it has not processed the request.
pub(super) const NOT_PROCESSED_HEADER: &str = "x-not-processed";

/// The request header with the client's identifier of the request.
pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";

/// The request header with the time that the gateway waits for the endpoint's response, in microseconds with the suffix `u`.
const TIMEOUT_HEADER: &str = "x-timeout";

/// Headers that belong to one connection, or that this gateway writes anew on each connection. Such headers are removed from responses.
/// Requests need no list of removed headers, since only the headers of an allow list are forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::EXPECT,
    header::PROXY_AUTHORIZATION,
];

/// Removes from a response the headers that belong to one connection, including the headers that `Connection` names.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// The load report in a response's headers; `None` where there are several, since nothing shows which one is the endpoint's.
pub(super) fn parse_load_report(headers: &HeaderMap, fields: &LoadReportFields) -> Option<LoadReport> {
    let mut reports = headers.get_all(LOAD_REPORT_HEADER).iter();
    let text = reports.next()?.to_str().ok()?;
    if reports.next().is_some() {
        return None;
    }
    fields.parse_header(text)
}

/// Builds the request as it is written to an endpoint; the gateway waits for the endpoint's response until `answer_by`.
pub(super) fn build_request(forward: &ForwardedRequest, answer_by: Instant) -> Request<RequestBody> {
    let mut request = Request::new(RequestBody::new(&forward.body));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.uri.clone();
    *request.headers_mut() = forward.headers.clone();
    let timeout = match &forward.body {
        RequestPayload::Buffered(_) => answer_by.saturating_duration_since(Instant::now()),
        // The answer timeout counts from the body's last byte, which may have arrived already without having been read.
        RequestPayload::Streaming(upload) => upload.time_left(),
    };
    let timeout_us = timeout.as_micros();
    if let Ok(value) = HeaderValue::from_str(&format!("{timeout_us}u")) {
        request.headers_mut().insert(TIMEOUT_HEADER, value);
    }
    request
}
