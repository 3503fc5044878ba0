//! Reads the bodies of operators' requests and builds JSON answers.

use std::time::Duration;

use bytes::Bytes;
use cicadabend::prelude::*;
use cicadabend_daemon::bodies::{
    Bodies,
    BodyReadError, //
};
use http::{
    Request,
    Response,
    StatusCode,
    header, //
};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use super::refusal::Refusal;
use crate::counters::OperatorRefusal;

/// The HTTP response to an operator's request.
pub(crate) type Answer = Response<Full<Bytes>>;

/// How long an operator may take to send a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a JSON body of at most `limit` bytes.
pub(super) async fn read<T: DeserializeOwned>(
    request: Request<Incoming>,
    bodies: &Bodies,
    limit: ByteCount,
) -> Result<T, Refusal> {
    let mut body = request.into_body();
    let read = tokio::time::timeout(BODY_TIMEOUT, bodies.read(&mut body, limit))
        .await
        .map_err(|_| incomplete_body("the request body did not arrive in time".to_owned()))?;
    let body = read.map_err(|error| match error {
        BodyReadError::TooLong => Refusal::too_large(),
        BodyReadError::NoRoom => {
            let text = "other request bodies take the memory; try again";
            Refusal::bad_request(OperatorRefusal::Overloaded, text)
        }
        BodyReadError::Broken(error) => {
            incomplete_body(format!("the request body ended early: {error}"))
        }
    })?;
    parse(&body.to_contiguous())
}

fn incomplete_body(text: String) -> Refusal {
    Refusal::bad_request(OperatorRefusal::BodyIncomplete, text)
}

fn malformed_body(text: String) -> Refusal {
    Refusal::bad_request(OperatorRefusal::Malformed, text)
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Refusal> {
    let mut json = serde_json::Deserializer::from_slice(bytes);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let at = if path == "." {
            String::new()
        } else {
            format!(".{path}")
        };
        malformed_body(format!("${at}: {}", error.into_inner()))
    })?;
    json.end()
        .map_err(|error| malformed_body(format!("$: {error}")))?;
    Ok(value)
}

/// Returns an answer with a JSON body.
pub(super) fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let Ok(body) = serde_json::to_vec(value) else {
        // All types of answers have string keys, so a failure here is a bug.
        let mut answer = Response::new(Full::default());
        *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return answer;
    };
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    answer
}
