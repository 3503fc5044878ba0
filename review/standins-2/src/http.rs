//! HTTP/1.1 messages on plain sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    #[allow(dead_code)]
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    #[allow(dead_code)]
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection from which messages are read one after the other.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes; `false` is the end.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0_u8; 16 * 1024];
        let length = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(bad("ended in a line")),
                };
            }
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(bad("ended in a body"));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads the head of a message; `None` if the connection ended before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message { first, ..Message::default() };
        loop {
            let line = self.line()?.ok_or_else(|| bad("ended in a head"))?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            let (name, value) = line.split_once(':').ok_or_else(|| bad("no header"))?;
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads the body that belongs to a head.
    pub fn read_body(&mut self, head: &mut Message) -> io::Result<()> {
        if head.header("transfer-encoding").is_some() {
            loop {
                let size = self.line()?.ok_or_else(|| bad("ended in a chunk"))?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(|_| bad("a chunk"))?;
                let data = self.exactly(size + 2)?;
                head.body.extend_from_slice(&data[..size]);
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = head.header("content-length").and_then(|text| text.parse().ok());
        if let Some(length) = length {
            head.body = self.exactly(length)?;
        }
        Ok(())
    }

    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    pub fn write(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    connection.write(&head, body)?;
    connection.read()?.ok_or_else(|| bad("no answer"))
}
