//! Responses to clients, from the engine's answers.

use crate::body::{ResponseBody, UpstreamResponse};
use crate::engine::message::FinalAnswer;
use crate::metrics::{RequestEnding, RequestMetricsGuard};
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// Whether the client's connection ends with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    KeepAlive,
    /// The request's body has not been read to its end, so no next request can be.
    Close,
}

/// A request with its final answer, counted.
pub(super) struct AnsweredRequest {
    answer: FinalAnswer,
    connection: ConnectionUse,
}

impl AnsweredRequest {
    /// Counts the request by its answer; a streamed response counts it when its body ends.
    pub(super) fn new(
        mut answer: FinalAnswer,
        metrics_guard: RequestMetricsGuard,
        connection: ConnectionUse,
    ) -> AnsweredRequest {
        match &mut answer {
            FinalAnswer::Served(UpstreamResponse {
                body: ResponseBody::Streaming { metrics_guard: slot, .. },
                ..
            }) => {
                *slot = Some(metrics_guard);
            }
            FinalAnswer::Served(_) => metrics_guard.finish(RequestEnding::Served),
            FinalAnswer::Rejected { .. } => metrics_guard.finish(RequestEnding::Rejected),
            FinalAnswer::Failed(_) => metrics_guard.finish(RequestEnding::Failed),
        }
        AnsweredRequest { answer, connection }
    }

    /// The response to the client.
    pub(super) fn into_response(self) -> Response<ResponseBody> {
        let response = response_for(self.answer);
        match self.connection {
            ConnectionUse::KeepAlive => response,
            ConnectionUse::Close => with_connection_close(response),
        }
    }
}

/// The response to a client for the engine's answer.
pub(super) fn response_for(answer: FinalAnswer) -> Response<ResponseBody> {
    match answer {
        FinalAnswer::Served(served) => {
            let mut response = Response::new(served.body);
            *response.headers_mut() = served.headers;
            response
        }
        FinalAnswer::Rejected { retry_after } => {
            let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "try again later\n");
            // Zero where the settings allow clients no delay: they may retry at once.
            if let Ok(seconds) = HeaderValue::from_str(&retry_after.as_secs_f64().to_string()) {
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
            response
        }
        FinalAnswer::Failed(status) => plain_response(status, "failed\n"),
    }
}

/// The response, with the connection closed after it.
pub(super) fn with_connection_close(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A response of this status and text.
pub(super) fn plain_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
