//! Stand-ins for model servers, whose runs are recorded with their start and end.

use std::io;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::Record;
use crate::store::Store;
use crate::wire::{Connection, Message, listen};

/// Time in which an engine makes a token.
const TOKEN_TIME: Duration = Duration::from_millis(30);

/// How an engine behaves. By default it is one of the servers that drop a request when its
/// connection closes.
#[derive(Clone, Default)]
pub struct Behaviour {
    /// Event after which a run that the engine itself began is preempted once, and for how long.
    pub preempted: Option<(u64, Duration)>,
    /// Whether the engine goes on with a run whose connection has closed.
    pub finishes_runs: bool,
}

/// Work of an engine on a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub server: String,
    pub started: Duration,
    /// When the engine stopped to work on the request.
    pub ended: Option<Duration>,
    /// Event after which it went on with the run of another engine.
    pub after: Option<u64>,
}

/// Runs of all engines.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    fn start(&self, run: Run) -> usize {
        let mut runs = self.0.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    fn end(&self, index: usize, at: Duration) {
        self.0.lock().unwrap()[index].ended = Some(at);
    }

    /// Runs of one attempt, in the order of their starts.
    pub fn of(&self, attempt: &str) -> Vec<Run> {
        let runs = self.0.lock().unwrap();
        runs.iter()
            .filter(|run| run.attempt == attempt)
            .cloned()
            .collect()
    }
}

struct Engine {
    id: String,
    stage: &'static str,
    behaviour: Behaviour,
    tokens: u64,
    record: Record,
    runs: Runs,
}

/// Starts an engine and registers it in the store. Its answers have `tokens` events.
pub fn start_engine(
    store: &Store,
    id: &str,
    stage: &'static str,
    tokens: u64,
    behaviour: Behaviour,
    record: &Record,
    runs: &Runs,
) -> io::Result<()> {
    let engine = Engine {
        id: id.to_owned(),
        stage,
        behaviour,
        tokens,
        record: record.clone(),
        runs: runs.clone(),
    };
    let port = listen("127.0.0.1:0", move |connection| engine.serve(connection))?;
    store.put(
        &format!("servers/{id}"),
        &format!(
            r#"{{"service":"llm","address":"127.0.0.1:{port}","zone":"z1","version":"1","slots":16,"state":"ready","cold-remaining-ms":0,"sequence":1,"stage":"{stage}","born":1796500000000}}"#
        ),
    );
    Ok(())
}

impl Engine {
    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        loop {
            let request = connection.read()?;
            let id = request.header("x-attempt-id").unwrap_or("-").to_owned();
            let echo = format!("X-Attempt-Id: {id}\r\n");
            if request.path().starts_with("/-/") {
                // Reports and lists of what is cached; none is needed here.
                connection.answer("404 Not Found", &echo, b"")?;
                continue;
            }
            let is_prefill = request.header("x-serving-stage") == Some("prefill");
            if request.header("x-target-instance") != Some(&self.id)
                || is_prefill != (self.stage == "prefill")
            {
                connection.answer(
                    "421 Misdirected Request",
                    &format!("{echo}X-Not-Executed: 1\r\n"),
                    b"",
                )?;
                continue;
            }
            if is_prefill {
                let body = format!(r#"{{"kv-handle":"{id}","tokens":220,"version":1}}"#);
                connection.answer("200 OK", &echo, body.as_bytes())?;
                continue;
            }
            self.run(&mut connection, &request, &id)?;
        }
    }

    fn run(&self, connection: &mut Connection, request: &Message, id: &str) -> io::Result<()> {
        let after = request
            .header("last-event-id")
            .and_then(|id| id.parse::<u64>().ok());
        let backup = request.header("x-kv-backup");
        let source = request.header("x-kv-source");
        self.record.line(format!(
            "server {} starts to work on {id} after event {after:?}, X-Kv-Source {source:?}, X-Kv-Backup {backup:?}",
            self.id
        ));
        let index = self.runs.start(Run {
            attempt: id.to_owned(),
            server: self.id.clone(),
            started: self.record.now(),
            ended: None,
            after,
        });
        let sent = self.stream(connection, id, after);
        self.runs.end(index, self.record.now());
        let outcome = if sent.is_ok() {
            "its stream is complete"
        } else {
            "its connection had closed"
        };
        self.record.line(format!(
            "server {} stops to work on {id}: {outcome}",
            self.id
        ));
        sent
    }

    fn stream(&self, connection: &mut Connection, id: &str, after: Option<u64>) -> io::Result<()> {
        connection.send(format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: {}.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        ))?;
        let mut closed = Ok(());
        for event in after.unwrap_or(0) + 1..=self.tokens {
            if closed.is_ok() {
                let is_open = is_open(&connection.stream);
                let text = format!("id: {event}\ndata: {id} {event}\n\n");
                closed = is_open.and_then(|()| connection.send_chunk(&text));
                if closed.is_err() {
                    self.record.line(format!(
                        "server {} notices at event {event} of {id} that its connection has closed",
                        self.id
                    ));
                }
            }
            if closed.is_err() && !self.behaviour.finishes_runs {
                return closed;
            }
            std::thread::sleep(TOKEN_TIME);
            if let (None, Some((at, time))) = (after, self.behaviour.preempted)
                && event == at
            {
                self.record.line(format!(
                    "server {} preempts {id} after event {event} for {} ms",
                    self.id,
                    time.as_millis()
                ));
                std::thread::sleep(time);
                self.record
                    .line(format!("server {} goes on with {id}", self.id));
            }
        }
        closed?;
        connection.send("0\r\n\r\n")
    }
}

/// Returns an error if the peer has closed the connection.
fn is_open(stream: &TcpStream) -> io::Result<()> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match peeked {
        Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
        Ok(_) => Ok(()),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
        Err(error) => Err(error),
    }
}
