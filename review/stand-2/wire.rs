//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer, or 0.
    pub fn status(&self) -> u16 {
        let word = self.first_line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            length => {
                self.buffer.extend_from_slice(&bytes[..length]);
                Ok(())
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        let rest = self.buffer.split_off(length);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            first_line: self.take_line()?,
            ..Message::default()
        };
        loop {
            let line = self.take_line()?;
            let Some((name, value)) = line.split_once(':') else {
                return Ok(message);
            };
            let header = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }

    /// Reads a message. A body that breaks off leaves it incomplete.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        message.is_complete = self.read_body(&mut message).is_ok();
        Ok(message)
    }

    fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.header("transfer-encoding").is_some() {
            loop {
                let line = self.take_line()?;
                let length = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.take(length + 2)?;
                message.body.extend_from_slice(&chunk[..length]);
                if length == 0 {
                    return Ok(());
                }
            }
        }
        let length = message.header("content-length").map(str::parse::<usize>);
        if let Some(Ok(length)) = length {
            message.body = self.take(length)?;
        }
        Ok(())
    }

    pub fn send(&mut self, text: impl AsRef<[u8]>) -> io::Result<()> {
        self.stream.write_all(text.as_ref())
    }

    /// Sends an answer with a body of known length.
    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
        self.send([head.as_bytes(), body].concat())
    }

    /// Sends one chunk of a body.
    pub fn send_chunk(&mut self, text: &str) -> io::Result<()> {
        self.send(format!("{:x}\r\n{text}\r\n", text.len()))
    }
}

/// Serves each connection of a listener in a thread of its own.
pub fn listen(
    address: &str,
    serve: impl Fn(Connection) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<u16> {
    let listener = std::net::TcpListener::bind(address)?;
    let port = listener.local_addr()?.port();
    let serve = std::sync::Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || {
                // A connection ends with an error when its peer closes it.
                let _ = serve(Connection::new(stream));
            });
        }
    });
    Ok(port)
}
