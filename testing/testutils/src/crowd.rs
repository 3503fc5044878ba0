//! Crowds of clients that do not behave: each sends part of a request and stays open.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    thread,
    time::Duration,
};

/// The bytes of one piece of a body that is not sent at once.
const PIECE_BYTES: usize = 64 * 1024;
/// The pause between two pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(1);
/// How long a client waits for a process that reads nothing before it only stays open.
const WRITE_LIMIT: Duration = Duration::from_secs(3);
/// Bytes after the length of a chunk and after its data.
const LINE_END: &[u8] = b"\r\n";

/// How a client sends the body of its request, of which the end never comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sending {
    /// Announces a length and sends so many bytes of it at once.
    Whole {
        /// The announced length.
        announced: usize,
        /// The bytes that are sent.
        sent: usize,
    },
    /// Announces a length and sends so many bytes of it piece by piece.
    Pieces {
        /// The announced length.
        announced: usize,
        /// The bytes that are sent.
        sent: usize,
    },
    /// Sends chunks of one size, with so many bytes of body in all, and no last chunk.
    Chunks {
        /// The bytes of body in a chunk.
        chunk: usize,
        /// The bytes of body that are sent.
        sent: usize,
    },
    /// Sends so many whole requests without a body, one after the other, and reads no response.
    Pipelined {
        /// The number of requests.
        requests: usize,
    },
    /// Sends the head without the empty line that ends it.
    HalfHead,
    /// Sends nothing.
    Nothing,
}

/// Clients that stay open until this is dropped.
#[derive(Debug, Default)]
pub struct Crowd {
    clients: Vec<TcpStream>,
}

impl Crowd {
    /// Has so many clients send at once; returns once each has sent all or can send no more.
    ///
    /// `head` is the request line with all headers but those of the body.
    ///
    /// # Panics
    ///
    /// Panics if a client's thread panicked.
    pub fn press(address: SocketAddr, clients: usize, head: &str, sending: Sending) -> Self {
        let mut crowd = Self::default();
        crowd.join(address, clients, head, sending);
        crowd
    }

    /// Has further clients do the same.
    ///
    /// # Panics
    ///
    /// Panics if a client's thread panicked.
    pub fn join(&mut self, address: SocketAddr, clients: usize, head: &str, sending: Sending) {
        if matches!(sending, Sending::HalfHead | Sending::Nothing) {
            let clients = (0..clients).filter_map(|_| press_one(address, head, sending));
            self.clients.extend(clients);
            return;
        }
        let threads: Vec<_> = (0..clients)
            .map(|_| {
                let head = head.to_owned();
                thread::spawn(move || press_one(address, &head, sending))
            })
            .collect();
        let clients = threads.into_iter().map(|thread| thread.join().unwrap());
        self.clients.extend(clients.flatten());
    }

    /// Returns the status of each answer that has come; clients without one are left out.
    ///
    /// # Panics
    ///
    /// Panics if a socket can't be set.
    pub fn statuses(&self) -> Vec<u16> {
        let clients = self.clients.iter();
        clients.filter_map(status_of).collect()
    }
}

/// Returns the client's socket, also if it was closed meanwhile.
fn press_one(address: SocketAddr, head: &str, sending: Sending) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(WRITE_LIMIT)).ok()?;
    // The process may refuse the request or close the connection at any moment.
    let _ = send(&mut stream, head, sending);
    Some(stream)
}

fn send(stream: &mut TcpStream, head: &str, sending: Sending) -> io::Result<()> {
    match sending {
        Sending::Whole { announced, sent } => {
            write!(stream, "{head}Content-Length: {announced}\r\n\r\n")?;
            stream.write_all(&vec![b'x'; sent])
        }
        Sending::Pieces { announced, sent } => {
            write!(stream, "{head}Content-Length: {announced}\r\n\r\n")?;
            for piece in vec![b'x'; sent].chunks(PIECE_BYTES) {
                stream.write_all(piece)?;
                thread::sleep(PIECE_PAUSE);
            }
            Ok(())
        }
        Sending::Chunks { chunk, sent } => {
            write!(stream, "{head}Transfer-Encoding: chunked\r\n\r\n")?;
            let bytes = chunk_bytes(chunk);
            let per_write = (PIECE_BYTES / bytes.len()).max(1);
            let together = bytes.repeat(per_write);
            let mut left = sent / chunk;
            while left > 0 {
                let count = left.min(per_write);
                stream.write_all(&together[..count * bytes.len()])?;
                left -= count;
            }
            Ok(())
        }
        Sending::Pipelined { requests } => {
            let request = format!("{head}Content-Length: 0\r\n\r\n");
            stream.write_all(request.repeat(requests).as_bytes())
        }
        Sending::HalfHead => stream.write_all(head.as_bytes()),
        Sending::Nothing => Ok(()),
    }
}

/// Returns a chunk of a body as it is sent.
pub fn chunk_bytes(length: usize) -> Vec<u8> {
    let mut bytes = format!("{length:x}\r\n").into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    bytes.extend_from_slice(LINE_END);
    bytes
}

fn status_of(mut stream: &TcpStream) -> Option<u16> {
    // What has not come yet counts as no answer.
    stream.set_nonblocking(true).unwrap();
    let mut beginning = [0; 64];
    let length = stream.read(&mut beginning).ok()?;
    let text = String::from_utf8_lossy(&beginning[..length]).into_owned();
    text.split(' ').nth(1)?.parse().ok()
}
