//! A small HTTP/1.1 reader and writer on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::words;

/// A request or a response: its first line, headers in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; zero if the first line has none.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns the address that a 307 names.
    pub fn redirect(&self) -> Option<SocketAddr> {
        let location = self.header("location")?;
        let rest = location.strip_prefix("http://")?;
        rest.split('/').next()?.parse().ok()
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// One connection and what was read from it beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, wait: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, wait)?))
    }

    /// Reads a message whose body has a length or comes in chunks; a body without either is empty.
    pub fn read(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(at) = self.rest.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            first,
            headers,
            body: Vec::new(),
        };
        if message.header("transfer-encoding").is_some() {
            message.body = self.read_chunks()?;
        } else {
            let length = message.header("content-length");
            let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            message.body = self.take(length)?;
        }
        Ok(message)
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = loop {
                if let Some(at) = self.rest.windows(2).position(|two| two == b"\r\n") {
                    break at;
                }
                self.fill()?;
            };
            let text = String::from_utf8_lossy(&self.rest[..line]).into_owned();
            self.rest.drain(..line + 2);
            let size = text.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size"))?;
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            self.fill()?;
        }
        Ok(self.rest.drain(..length).collect())
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = vec![0; 65_536];
        match self.stream.read(&mut part)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            length => {
                self.rest.extend_from_slice(&part[..length]);
                Ok(())
            }
        }
    }

    /// Writes a text with the platform's words in place of their keys.
    pub fn write_text(&mut self, text: &str) -> io::Result<()> {
        self.write(words::put(text).as_bytes())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends one request on a new connection and returns the response.
pub fn call(address: SocketAddr, first: &str, body: &[u8], wait: Duration) -> io::Result<Message> {
    let body = words::put(&String::from_utf8_lossy(body));
    let mut connection = Connection::open(address, wait)?;
    connection.stream.set_read_timeout(Some(wait))?;
    connection.stream.set_write_timeout(Some(wait))?;
    let head = format!(
        "{first} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    connection.write_text(&head)?;
    connection.write(body.as_bytes())?;
    connection.read()
}
