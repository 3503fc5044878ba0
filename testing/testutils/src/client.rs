//! A caller over HTTP/1.1, one connection for each request.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Method,
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// How long one request may take in all.
pub const REQUEST_LIMIT: Duration = Duration::from_secs(20);

/// An answer, whole or up to where it broke.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body's bytes that arrived.
    pub body: Bytes,
    /// Whether the body ended as HTTP says it must.
    pub complete: bool,
}

impl Answer {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON.
    ///
    /// # Panics
    ///
    /// Panics with the body if it is no JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{error}: {}", self.text()))
    }

    /// Returns the data lines of a server-sent event stream.
    pub fn events(&self) -> Vec<String> {
        self.text()
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .map(str::to_owned)
            .collect()
    }
}

/// Sends one request and collects the answer.
///
/// # Errors
///
/// Returns an error if no status line arrives within [`REQUEST_LIMIT`].
pub fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> io::Result<Answer> {
    send_within(REQUEST_LIMIT, address, method, path, headers, body)
}

/// Sends one request and collects the answer, for callers that ask elsewhere after `limit`.
///
/// # Errors
///
/// Returns an error if the answer is not there within `limit`.
pub fn send_within(
    limit: Duration,
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> io::Result<Answer> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string());
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(body.into()))
        .map_err(io::Error::other)?;
    let exchange = async {
        match tokio::time::timeout(limit, exchange(address, request)).await {
            Ok(answer) => answer,
            Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
        }
    };
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(exchange)
}

async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> io::Result<Answer> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let driver = tokio::spawn(connection);
    let response = sender
        .send_request(request)
        .await
        .map_err(io::Error::other)?;
    let (head, mut incoming) = response.into_parts();
    let mut body = Vec::new();
    let mut complete = true;
    while let Some(frame) = incoming.frame().await {
        match frame {
            Ok(frame) => body.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Err(_) => {
                complete = false;
                break;
            }
        }
    }
    driver.abort();
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body: body.into(),
        complete,
    })
}
