//! Builds the responses to clients from the engine's answers.

use crate::body::{ResponseBody, UpstreamResponse};
use crate::engine::message::FinalAnswer;
use crate::metrics::{RequestEnding, RequestMetricsGuard};
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// Whether the client's connection is closed with the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    KeepAlive,
    /// The request's body has not been read to its end, so no further request can be read from the connection.
    Close,
}

/// The final answer to a request that the metrics have counted, or count at the end of a streamed response.
pub(super) struct AnsweredRequest {
    answer: FinalAnswer,
    connection: ConnectionUse,
}

impl AnsweredRequest {
    /// Counts the request in the metrics by its answer; a request with a streamed response is counted when the response body ends.
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

    /// Builds the response to the client, which closes the connection if [`ConnectionUse::Close`] is set.
    pub(super) fn into_response(self) -> Response<ResponseBody> {
        let response = response_for(self.answer);
        match self.connection {
            ConnectionUse::KeepAlive => response,
            ConnectionUse::Close => with_connection_close(response),
        }
    }
}

/// Builds the response to a client from the engine's answer.
pub(super) fn response_for(answer: FinalAnswer) -> Response<ResponseBody> {
    match answer {
        FinalAnswer::Served(served) => {
            let mut response = Response::new(served.body);
            *response.headers_mut() = served.headers;
            response
        }
        FinalAnswer::Rejected { retry_after } => {
            let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "try again later\n");
            // `Retry-After` is zero if the settings allow no delay of retries: clients may then retry at once.
            if let Ok(seconds) = HeaderValue::from_str(&retry_after.as_secs_f64().to_string()) {
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
            response
        }
        FinalAnswer::Failed(status) => plain_response(status, "failed\n"),
    }
}

/// Adds `Connection: close` to a response, which closes the client's connection after the response.
pub(super) fn with_connection_close(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Creates a response with this status and this text as its body.
pub(super) fn plain_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
