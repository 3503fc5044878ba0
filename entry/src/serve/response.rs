//! Responses that the daemon makes itself: errors as JSON, and small JSON documents.

use bytes::Bytes;
use cicadabend::caller_api::{
    ErrorBody,
    ErrorCode,
    ErrorDetail,
    HEADER_REQUEST_ID, //
};
use http::{
    HeaderValue,
    Response,
    StatusCode,
    header, //
};

use super::{
    body::ResponseBody,
    headers, //
};

/// An error for a caller, before it becomes an HTTP response.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    pub(super) code: ErrorCode,
    pub(super) message: String,
    /// Whether the caller can send the request again without running it twice.
    pub(super) retry_is_safe: bool,
    /// Time after which the caller should retry, in milliseconds.
    pub(super) retry_after_ms: Option<u64>,
    /// Number of stream positions that the caller had received when the response broke off.
    pub(super) delivered_positions: Option<u64>,
}

impl Refusal {
    /// Makes an error; a client retry is safe if the code promises that the request did not run.
    pub(super) fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_is_safe: code.promises_not_run(),
            retry_after_ms: None,
            delivered_positions: None,
        }
    }

    /// Sets the time after which the caller should retry, in milliseconds.
    pub(super) fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the JSON body that all errors have.
    pub(super) fn body(&self, request_id: &str) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                code: self.code,
                message: self.message.clone(),
                request_id: request_id.to_owned(),
                not_run: self.code.promises_not_run(),
                retry_is_safe: self.retry_is_safe,
                retry_after_ms: self.retry_after_ms,
                delivered_positions: self.delivered_positions,
            },
        }
    }

    /// Returns the HTTP response with status, headers and body.
    pub(super) fn to_response(&self, request_id: &str) -> Response<ResponseBody> {
        let bytes = serde_json::to_vec(&self.body(request_id)).unwrap_or_default();
        let mut response = json(self.code.http_status(), bytes);
        if let Some(after_ms) = self.retry_after_ms {
            let seconds = after_ms.div_ceil(1_000).max(1);
            let value = HeaderValue::from(seconds);
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        headers::set(response.headers_mut(), HEADER_REQUEST_ID, request_id);
        response
    }
}

/// Makes a response whose body is one JSON document.
pub(super) fn json(status: u16, bytes: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(Bytes::from(bytes)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
