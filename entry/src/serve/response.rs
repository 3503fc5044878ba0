//! Answers to callers: errors in their one form, and small whole bodies.

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

/// Why a request gets an error, before it is put into the caller's form.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    pub(super) code: ErrorCode,
    pub(super) message: String,
    pub(super) retry_is_safe: bool,
    pub(super) retry_after_ms: Option<u64>,
    pub(super) delivered_positions: Option<u64>,
}

impl Refusal {
    /// Makes a refusal whose repetition is safe just if the request did not run.
    pub(super) fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_is_safe: code.promises_not_run(),
            retry_after_ms: None,
            delivered_positions: None,
        }
    }

    /// Tells the caller when to come back.
    pub(super) fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the error in its one JSON form.
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

    /// Returns the whole answer.
    pub(super) fn to_response(&self, request_id: &str) -> Response<ResponseBody> {
        let bytes = serde_json::to_vec(&self.body(request_id)).unwrap_or_default();
        let mut answer = json(self.code.http_status(), bytes);
        if let Some(after_ms) = self.retry_after_ms {
            let seconds = after_ms.div_ceil(1_000).max(1);
            let value = HeaderValue::from(seconds);
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
        headers::set(answer.headers_mut(), HEADER_REQUEST_ID, request_id);
        answer
    }
}

/// Makes an answer of one JSON document.
pub(super) fn json(status: u16, bytes: Vec<u8>) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::whole(Bytes::from(bytes)));
    *answer.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let value = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}
