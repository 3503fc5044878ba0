//! HTTP towards entry daemons, upstreams and their accounts.

use std::net::SocketAddr;

use bytes::Bytes;
use displaydoc::Display;
use fake_engine::run::RunReport;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        self,
        Client,
        connect::HttpConnector, //
    },
    rt::TokioExecutor,
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use thiserror::Error;

/// Why there is no answer.
#[derive(Debug, Display, Error)]
pub enum HttpError {
    /// no answer: {0}
    NoAnswer(#[from] legacy::Error),
    /// the answer broke off: {0}
    Broken(#[from] hyper::Error),
    /// the request cannot be made: {0}
    Request(#[from] http::Error),
    /// {status} instead of an answer
    Status {
        /// The status.
        status: StatusCode,
    },
    /// not the JSON expected: {0}
    Json(#[from] serde_json::Error),
}

/// A client that keeps its connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        // A request that must run at most once must not be sent again below the account.
        builder.retry_canceled_requests(false);
        Self {
            client: builder.build(connector),
        }
    }
}

impl HttpClient {
    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer begins.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        Ok(self.client.request(request).await?)
    }

    /// Gets a path and the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer does not come whole.
    pub async fn get(
        &self,
        target: SocketAddr,
        path: &str,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let request = Request::get(format!("http://{target}{path}")).body(Full::default())?;
        let response = self.send(request).await?;
        let status = response.status();
        Ok((status, response.into_body().collect().await?.to_bytes()))
    }

    /// Gets JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer is not a success with such JSON.
    pub async fn get_json<T>(&self, target: SocketAddr, path: &str) -> Result<T, HttpError>
    where
        T: DeserializeOwned,
    {
        let (status, body) = self.get(target, path).await?;
        if !status.is_success() {
            return Err(HttpError::Status { status });
        }
        Ok(serde_json::from_slice(&body)?)
    }

    /// Posts JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer is not a success.
    pub async fn post_json<T>(
        &self,
        target: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<(), HttpError>
    where
        T: Serialize,
    {
        let body = Full::new(Bytes::from(serde_json::to_vec(value)?));
        let request = Request::post(format!("http://{target}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(body)?;
        let response = self.send(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        match status.is_success() {
            true => Ok(()),
            false => Err(HttpError::Status { status }),
        }
    }

    /// Gets the accounts of upstreams; one that is gone has none.
    pub async fn accounts(&self, upstreams: &[SocketAddr]) -> Vec<RunReport> {
        let mut reports = Vec::new();
        for upstream in upstreams {
            if let Ok(report) = self.get_json(*upstream, "/fake/runs").await {
                reports.push(report);
            }
        }
        reports
    }
}
