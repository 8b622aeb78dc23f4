//! Minimal HTTP/1.1 for the stand-ins: reading messages and a client for single calls.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait of a client for the next bytes of an answer, unless it says another one.
pub const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A request or an answer without its body.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Words of the first line.
    pub start: Vec<String>,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn method(&self) -> &str {
        self.start.first().map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.start.get(1).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }
}

/// Reads the head of a message, or `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut head = Head {
        start: line.split_whitespace().map(str::to_owned).collect(),
        headers: Vec::new(),
    };
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim();
        if text.is_empty() {
            return Some(head);
        }
        if let Some((name, value)) = text.split_once(':') {
            let entry = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            head.headers.push(entry);
        }
    }
}

/// Reads a body that has a length.
pub fn read_body(reader: &mut impl Read, head: &Head) -> Option<Vec<u8>> {
    let length = head.header("content-length").and_then(|v| v.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status, or 0 if no head arrived.
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub is_complete: bool,
}

/// Sends a request on a new connection and reads its answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Answer {
    call_with_gap(address, method, path, headers, body, READ_TIMEOUT)
}

/// As [`call`], but the client closes the connection after `gap` without a byte.
pub fn call_with_gap(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    gap: Duration,
) -> Answer {
    try_call(address, method, path, headers, body, gap).unwrap_or_default()
}

fn try_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    gap: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(gap)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("Connection: close\r\n\r\n");
    let message = [text.as_bytes(), body].concat();
    stream.write_all(&message).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let mut answer = Answer {
        status: head.status(),
        ..Answer::default()
    };
    answer.is_complete = match head.header("transfer-encoding") {
        Some(_) => read_chunks(&mut reader, &mut answer.body).is_some(),
        None => match read_body(&mut reader, &head) {
            Some(body) => {
                answer.body = body;
                true
            }
            None => false,
        },
    };
    Some(answer)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        body.extend_from_slice(&chunk[..length]);
        if length == 0 {
            return Some(());
        }
    }
}
