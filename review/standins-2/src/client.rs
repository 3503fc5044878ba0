//! A client with one kept connection.

use std::{io, net::SocketAddr, time::Duration};

use crate::{
    http::{Connection, Message},
    record::Record,
    words::word,
};

pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
    record: Record,
    /// The key that its requests carry.
    pub key: Option<&'static str>,
}

impl Client {
    pub fn new(record: &Record, address: SocketAddr) -> Self {
        Self { address, connection: None, record: record.clone(), key: None }
    }

    /// Sends one request and reads its answer; an error is a connection without a whole answer.
    pub fn ask(&mut self, path: &str, id: &str, deadline: u64, body: &[u8]) -> io::Result<Message> {
        let timeout = Duration::from_millis(deadline + 1_000);
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(self.address, timeout)?,
        };
        self.record.line(&format!("client sends {id} to {}", self.address));
        let key = self.key.map(|key| format!("Authorization: Token {key}\r\n"));
        let key = key.unwrap_or_default();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: portal.example\r\nX-Request-Id: {id}\r\n\
             {}: {deadline}\r\n{key}Content-Length: {}\r\n\r\n",
            word("deadline"),
            body.len()
        );
        connection.write(&head, body)?;
        let answer = connection.read();
        match &answer {
            Ok(Some(answer)) => {
                let after = answer.header("retry-after").unwrap_or("none");
                let line = format!("client gets {} for {id}, retry after {after}", answer.status());
                self.record.line(&line);
            }
            Ok(None) => self.record.line(&format!("client gets a close for {id}")),
            Err(error) => self.record.line(&format!("client gets no answer for {id}: {error}")),
        }
        let answer = answer?.ok_or_else(|| io::Error::other("closed"))?;
        let closes = answer.header("connection").is_some_and(|value| value == "close");
        if !closes {
            self.connection = Some(connection);
        }
        Ok(answer)
    }
}

/// Returns a configuration with routes to plain services.
pub fn plain_config(version: u64, routes: &[(&str, &str, &str)]) -> String {
    config_with(version, routes, "")
}

/// Returns the same with one tenant that holds a key.
pub fn keyed_config(version: u64, routes: &[(&str, &str, &str)], key: &str) -> String {
    let keys = word("api-keys");
    let more = format!(r#","tenants":[{{"name":"tenant-a","{keys}":["{key}"],"priority":1}}]"#);
    config_with(version, routes, &more)
}

fn config_with(version: u64, routes: &[(&str, &str, &str)], more: &str) -> String {
    let mut services: Vec<&str> = routes.iter().map(|(_, _, service)| *service).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","healthPath":"/health","maxConnections":52,"protocol":"h1","tls":false}}"#))
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, kind, service)| {
            format!(
                r#"{{"name":"{name}","host":"portal.example","{}":"/{name}/","kind":"{kind}","timeoutMs":8000,"{}":300,"priority":1,"service":"{service}","maxAttempts":2,"public":true}}"#,
                word("path-prefix"),
                word("target-latency")
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}{more}}}"#,
        routes.join(","),
        services.join(",")
    )
}
